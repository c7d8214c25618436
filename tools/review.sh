#!/usr/bin/env bash
# Builds the programs and the stand-ins of the reviews and plays their cases N times each
# (first argument, 5 by default): those of the first review beside each other, then those of the
# second one after another because they load the machine, then those of the third beside each
# other. The records go to a temporary folder, which is printed.
# Exits with 1 if a case was broken or could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
times=${1:-5}
second_cases=(memory replaced-core short-tasks wide-job large-answer)
third_cases=(wipes budget late-order returned-machine advice)
cases=(unreadable-id gang-checkpoint foreign-heartbeat gang-failed renamed-route late-delete cancelled-start copy-apart)

go build -ldflags=-linkmode=external -o target/ ./cmd/lacewingturnd || exit 1
bash review/build.sh || exit 1
bash review/build-2.sh || exit 1
bash review/build-3.sh || exit 1
records=$(mktemp -d)
echo "records: $records"

# play prints the outcome of each run of a case: 0 held, 1 broken, any other not run.
play() {
	for n in $(seq "$times"); do
		review/bin/standin -case "$1" -record "$records/$1-$n.txt" >"$records/$1-$n.log" 2>&1
		echo "$?"
	done
}

# play_second does the same for a case of the second review.
play_second() {
	for n in $(seq "$times"); do
		target/review-2/standin-2 "$1" "$PWD" "$records/$1-$n.txt" >"$records/$1-$n.log" 2>&1
		echo "$?"
	done
}

# play_third does the same for a case of the third review.
play_third() {
	for n in $(seq "$times"); do
		target/review-3/standin-3 "$1" "$records/$1-$n.txt" >"$records/$1-$n.log" 2>&1
		echo "$?"
	done
}

for c in "${cases[@]}"; do
	play "$c" >"$records/$c.outcomes" &
done
wait
for c in "${second_cases[@]}"; do
	play_second "$c" >"$records/$c.outcomes"
done
for c in "${third_cases[@]}"; do
	play_third "$c" >"$records/$c.outcomes" &
done
wait

status=0
printf '%-20s %6s %6s %7s\n' case held broken 'not run'
for c in "${cases[@]}" "${second_cases[@]}" "${third_cases[@]}"; do
	held=$(grep -cx 0 "$records/$c.outcomes")
	broken=$(grep -cx 1 "$records/$c.outcomes")
	printf '%-20s %6d %6d %7d\n' "$c" "$held" "$broken" "$((times - held - broken))"
	[ "$held" -eq "$times" ] || status=1
done
exit "$status"
