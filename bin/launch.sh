# Shared by the scripts in this directory: finds the root, builds what is missing and sets the class path of a module.
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"

# The host and the command line are the last modules that are packaged, so their libraries show a finished build.
build_if_missing() {
  if [ ! -d "$root/figspan-host/target/lib" ] || [ ! -d "$root/figspan-cli/target/lib" ]; then
    echo "building, once" >&2
    (cd "$root" && mvn -B -q -DskipTests package >&2)
  fi
}

class_path() {
  echo "$root/$1/target/$1-0.1.0-SNAPSHOT.jar:$root/$1/target/lib/*"
}
