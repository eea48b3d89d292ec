#!/usr/bin/env bash
# Fits y = a + b·x by least squares to lines "x y" on standard input. Prints the fit and, for each
# argument, its value at that x.
#
#   printf '3 798\n12 3859\n' | measure/fit.sh 530
set -euo pipefail

awk -v x_list="$*" '
    { n++; sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2; syy += $2 * $2 }
    END {
        b = (n * sxy - sx * sy) / (n * sxx - sx * sx); a = (sy - b * sx) / n
        var = n * syy - sy * sy
        r2 = var > 0 ? (n * sxy - sx * sy) ^ 2 / ((n * sxx - sx * sx) * var) : 1
        printf "y = %.4g + %.4g x, r2 = %.3f, %d points\n", a, b, r2, n
        count = split(x_list, x_values, " ")
        for (i = 1; i <= count; i++) printf "x = %s: %.4g\n", x_values[i], a + b * x_values[i]
    }'
