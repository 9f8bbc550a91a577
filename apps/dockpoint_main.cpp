/// `dockpoint`: the command line of operators and callers.

int main() {
  return 2;
}
