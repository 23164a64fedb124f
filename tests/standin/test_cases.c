#include "test_cases.h"

#include <stdio.h>
#include <string.h>

#define LIST_FLAG "--cases"
#define FIRST_NAME_ARGUMENT 2 /* index in argv, behind the flag */

static const char *case_name(struct test_case_table table, size_t row) {
    return *(const char *const *)((const char *)table.rows + row * table.row_size);
}

bool test_cases_find(struct test_case_table table, const char *name, size_t *row) {
    for (*row = 0; *row < table.count; ++*row)
        if (strcmp(case_name(table, *row), name) == 0) return true;
    fprintf(stderr, "no case %s; the cases are:\n", name);
    for (size_t i = 0; i < table.count; i++) fprintf(stderr, "    %s\n", case_name(table, i));
    return false;
}

bool test_cases_are_listed(int argc, char **argv) {
    return argc >= FIRST_NAME_ARGUMENT && strcmp(argv[1], LIST_FLAG) == 0;
}

int test_cases_compare(struct test_case_table table, int argc, char **argv) {
    size_t n_listed = (size_t)(argc - FIRST_NAME_ARGUMENT);
    int result = 0;
    for (size_t i = 0; i < n_listed || i < table.count; i++) {
        const char *in_table = i < table.count ? case_name(table, i) : "nothing";
        const char *in_list = i < n_listed ? argv[FIRST_NAME_ARGUMENT + i] : "nothing";
        if (strcmp(in_table, in_list) == 0) continue;
        fprintf(stderr, "case %zu: %s in the table, %s in the list\n", i, in_table, in_list);
        result = 1;
    }
    return result;
}
