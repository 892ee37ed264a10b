package umberrun.works;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The machines by name, as the holder sees them from its worker list and its own observations. */
public record MachineView(Map<String, ObservedMachine> machines) {
  /**
   * One machine.
   *
   * @param hall the hall that it stands in
   * @param kind its hardware kind
   * @param listed whether the worker list names it as ready
   * @param gone whether the worker list no longer names it
   * @param startedAt its last start, in milliseconds
   * @param cold whether it is still warming up after its start
   * @param failing whether it is suspended for failures or does not answer
   */
  public record ObservedMachine(
      String hall,
      String kind,
      boolean listed,
      boolean gone,
      long startedAt,
      boolean cold,
      boolean failing) {
    /** Whether it serves calls at full capacity. */
    public boolean isReady() {
      return listed && !cold && !failing;
    }
  }

  /** The machine of that name, or null if it is unknown. */
  public ObservedMachine get(String name) {
    return machines.get(name);
  }

  /** Number of ready machines in each hall, without those that the ledger counts as missing. */
  Map<String, Integer> readyByHall(Ledger ledger) {
    Map<String, Integer> ready = new HashMap<>();
    machines.forEach(
        (name, observed) -> {
          Ledger.Machine planned = ledger.activeMachine(name);
          if (observed.isReady() && (planned == null || !planned.stage().isMissing())) {
            ready.merge(observed.hall, 1, Integer::sum);
          }
        });
    return ready;
  }

  static int sum(Collection<Integer> counts) {
    return counts.stream().mapToInt(i -> i).sum();
  }
}
