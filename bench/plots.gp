# Draws the plots of docs/CAPACITY.md from bench/results.
set terminal svg size 640,400 dynamic background rgb 'white' font 'sans-serif,13'
set datafile separator ','
set key top left
set grid
set style data linespoints

set output 'docs/plots/routing-cost.svg'
set title 'Processor time of one routing decision'
set xlabel 'replica groups'
set ylabel 'microseconds'
plot 'bench/results/routing_cost.csv' using 1:2 every ::1 title 'admission', \
     '' using 1:3 every ::1 title 'choice'

set output 'docs/plots/configuration-cost.svg'
set title 'Configuration by number of objects'
set xlabel 'objects'
set ylabel 'milliseconds'
set logscale xy
plot 'bench/results/config_judge.csv' using 1:($2/1e6) every ::1 title 'judge an organisation', \
     '' using 1:($4/1e6) every ::1 title 'copy the view', \
     '' using 1:6 every ::1 title 'read a snapshot'
unset logscale

set output 'docs/plots/peer-bytes.svg'
set title 'Bytes sent by each node to its peers'
set xlabel 'nodes'
set ylabel 'bytes a second'
plot '< grep ",idle," bench/results/dissemination.csv' using 1:8 title 'idle', \
     '< grep ",single," bench/results/dissemination.csv' using 1:8 title 'one change a second'

set output 'docs/plots/time-in-force.svg'
set title 'From publication at one node to application at another'
set ylabel 'milliseconds'
plot '< grep ",single," bench/results/dissemination.csv' using 1:4 title '99 in 100', \
     '< grep ",single," bench/results/dissemination.csv' using 1:5 title 'longest'
