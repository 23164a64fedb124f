#include "cases.h"

#include <stdio.h>
#include <string.h>

#define LIST_FLAG "--cases"
#define FIRST_NAME 2 /* the argument that holds the first name after the flag */

static const char *case_name(struct cases table, size_t row) {
    return *(const char *const *)((const char *)table.rows + row * table.row_size);
}

bool cases_find(struct cases table, const char *name, size_t *row) {
    for (*row = 0; *row < table.count; ++*row)
        if (strcmp(case_name(table, *row), name) == 0) return true;
    fprintf(stderr, "no case %s; there are:\n", name);
    for (size_t i = 0; i < table.count; i++) fprintf(stderr, "    %s\n", case_name(table, i));
    return false;
}

bool cases_are_listed(int argc, char **argv) { return argc >= FIRST_NAME && strcmp(argv[1], LIST_FLAG) == 0; }

int cases_compare(struct cases table, int argc, char **argv) {
    size_t listed = (size_t)(argc - FIRST_NAME);
    int result = 0;
    for (size_t i = 0; i < listed || i < table.count; i++) {
        const char *here = i < table.count ? case_name(table, i) : "nothing";
        const char *there = i < listed ? argv[FIRST_NAME + i] : "nothing";
        if (strcmp(here, there) == 0) continue;
        fprintf(stderr, "case %zu: %s in the table, %s in the list\n", i, here, there);
        result = 1;
    }
    return result;
}
