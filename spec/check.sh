# Checks one model and its mutants with spin: `check MODEL MUTANT...`. A model must have no error in
# a search that was not cut short, and every mutant must have one.

# Most steps of an execution.
max_depth=2000000
# Most memory, in MB.
max_memory=2000

# Sizes of the model, as options of spin.
sizes=()

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Searches all executions of a model, with a mutation if one is given.
search() {
  local model=$1 mutant=${2:-}
  (
    cd "$work"
    rm -f pan pan.* ./*.trail
    cp "$model" model.pml
    spin "${sizes[@]}" ${mutant:+-D"$mutant"} -a model.pml >spin.log 2>&1 || { cat spin.log; exit 1; }
    gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM="$max_memory" -o pan pan.c >gcc.log 2>&1 || { cat gcc.log; exit 1; }
    ./pan -E -m"$max_depth" >pan.log 2>&1 || true
  )
}

whole() {
  ! grep -qE 'max search depth too small|out of memory|Search not completed|pan: reached' "$work/pan.log" &&
    grep -qE 'errors: 0$' "$work/pan.log"
}

check() {
  local model=$1 mutant
  shift
  search "$model" || exit 1
  if ! whole; then
    cat "$work/pan.log"
    echo "$model: an error, or the search was cut short"
    exit 1
  fi
  echo "$model: holds, $(grep -oE '[0-9.e+]+ states, stored' "$work/pan.log")"
  for mutant in "$@"; do
    search "$model" "$mutant" || exit 1
    if ! grep -qE 'assertion violated' "$work/pan.log"; then
      cat "$work/pan.log"
      echo "$model: mutant $mutant was not caught"
      exit 1
    fi
    echo "$model: mutant $mutant is caught"
  done
}
