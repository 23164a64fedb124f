/* Tests whose cases are rows of a table, one case a run: `PROGRAM CASE ...`. With `--cases NAME...` instead of a run
 * the names are compared with the table's, so that no case is missing in CMakeLists.txt. */
#ifndef FF_CASES_H
#define FF_CASES_H
#include <stdbool.h>
#include <stddef.h>

/* A table of structs whose first member is the name, `const char *`. */
struct cases {
    const void *rows;
    size_t count, row_size;
};
#define CASES(table) ((struct cases){table, sizeof(table) / sizeof(table)[0], sizeof(table)[0]})

/* Sets *row to the case of that name; false, with the names on standard error, where there is none. */
bool cases_find(struct cases table, const char *name, size_t *row);

/* Whether the program is called as `PROGRAM --cases NAME...`. */
bool cases_are_listed(int argc, char **argv);
/* 0 where the names are those of the table, in its order; otherwise 1, with the difference on standard error. */
int cases_compare(struct cases table, int argc, char **argv);
#endif
