#!/usr/bin/env bash
# Fits y = a + b·x by least squares to lines "x y" on standard input; prints the line and, for each
# further argument, what it gives there.
#
#   printf '3 798\n12 3859\n' | measure/fit.sh 530
set -euo pipefail

awk -v at="$*" '
    { n++; sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2; syy += $2 * $2 }
    END {
        b = (n * sxy - sx * sy) / (n * sxx - sx * sx); a = (sy - b * sx) / n
        var = n * syy - sy * sy
        r2 = var > 0 ? (n * sxy - sx * sy) ^ 2 / ((n * sxx - sx * sx) * var) : 1
        printf "y = %.4g + %.4g x, r2 = %.3f, %d points\n", a, b, r2, n
        count = split(at, xs, " ")
        for (i = 1; i <= count; i++) printf "x = %s: %.4g\n", xs[i], a + b * xs[i]
    }'
