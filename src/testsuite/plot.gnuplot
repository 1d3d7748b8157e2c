# Draws one figure as SVG: for each scenario the median and the range of the naive variant and of the policy.
#
#   gnuplot -e "input='FILE'; output_file='plot.svg'; heading='p99_ms'; greatest=97.6" src/testsuite/plot.gnuplot
#
# FILE is the output of summarize.awk for one figure; `greatest` is the greatest value in it.
set terminal svg size 760,360 font "sans-serif,12" background rgb "white"
set output output_file
set title heading noenhanced
set style data histograms
set style histogram errorbars gap 1 linewidth 1
set style fill solid 0.9 border -1
set boxwidth 0.9
set datafile missing "?"
# Gnuplot can't choose the range of the axis when all values are 0.
if (greatest > 0) { set yrange [0:*] } else { set yrange [0:1] }
set xtics noenhanced
set grid ytics
set key top right outside
plot input using 2:3:4:xtic(1) title "naive" linecolor rgb "#bbbbbb", \
     '' using 5:6:7 title "policy" linecolor rgb "#1f77b4"
