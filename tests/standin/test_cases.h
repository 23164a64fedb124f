/* Test programs whose cases are rows of a table. `PROGRAM CASE ...` runs one case. `PROGRAM --cases NAME...` runs none:
 * it compares the names with the names in the table, so that no case is missing in CMakeLists.txt. */
#ifndef FF_STANDIN_TEST_CASES_H
#define FF_STANDIN_TEST_CASES_H
#include <stdbool.h>
#include <stddef.h>

/* An array of structs, each with the case's name (`const char *`) as its first member. */
struct test_case_table {
    const void *rows;
    size_t count, row_size;
};
#define TEST_CASE_TABLE(table) ((struct test_case_table){table, sizeof(table) / sizeof(table)[0], sizeof(table)[0]})

/* Sets *row to the index of the case with that name. If there is none, prints all names to stderr and returns false. */
bool test_cases_find(struct test_case_table table, const char *name, size_t *row);

/* Whether the command line is `PROGRAM --cases NAME...`. */
bool test_cases_are_listed(int argc, char **argv);
/* Returns 0 if the command line lists the names in the table, in the order of the table. Otherwise prints the
 * differences to stderr and returns 1. */
int test_cases_compare(struct test_case_table table, int argc, char **argv);
#endif
