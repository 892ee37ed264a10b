package umberrun.works;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The machines as the holder sees them, by its list and by what is told of them. */
public record MachineView(Map<String, ObservedMachine> machines) {
  /**
   * One machine.
   *
   * @param listed whether the list names it as ready
   * @param gone whether the list no longer names it
   * @param startedAt its last start, in milliseconds
   * @param failing whether it is benched or does not answer
   */
  public record ObservedMachine(
      String hall,
      String kind,
      boolean listed,
      boolean gone,
      long startedAt,
      boolean cold,
      boolean failing) {
    public boolean isReady() {
      return listed && !cold && !failing;
    }
  }

  /** One of them, or null. */
  public ObservedMachine get(String name) {
    return machines.get(name);
  }

  /** Ready machines by hall, those of a ledger that are missing left out. */
  Map<String, Integer> ready(Ledger l) {
    Map<String, Integer> ready = new HashMap<>();
    machines.forEach(
        (name, s) -> {
          Ledger.Machine m = l.machine(name);
          if (s.isReady() && (m == null || !m.stage().isMissing())) {
            ready.merge(s.hall, 1, Integer::sum);
          }
        });
    return ready;
  }

  static int sum(Collection<Integer> counts) {
    return counts.stream().mapToInt(i -> i).sum();
  }
}
