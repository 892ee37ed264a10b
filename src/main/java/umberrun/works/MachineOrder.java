package umberrun.works;

import com.google.gson.annotations.SerializedName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import umberrun.works.Ledger.Machine;
import umberrun.works.Ledger.Plan;

/**
 * Decides which machine goes out next, with the reasons. A pure function of the ledger, the reports
 * and the observed machines, so that the same input gives the same order at each front end.
 */
public final class MachineOrder {
  /**
   * A waiting machine's place in the order. The serialized names appear in the answer to a dry run.
   *
   * @param mayGo whether it may go out now
   * @param lastCopies number of functions in use that only this machine has loaded
   * @param inFlight calls in flight at it
   * @param readyInHall ready machines in its hall, or {@link Integer#MAX_VALUE} if it is not ready
   *     itself
   * @param reasons texts for operators
   */
  public record Place(
      String machine,
      @SerializedName("may") boolean mayGo,
      int lastCopies,
      @SerializedName("underWay") int inFlight,
      @SerializedName("hallReady") int readyInHall,
      List<String> reasons) {}

  private MachineOrder() {}

  /** All waiting machines, the next one to go first; those that may not go now come last. */
  public static List<Place> of(Ledger ledger, MachineView view, List<FrontEndReport> reports) {
    Map<String, Integer> readyByHall = view.readyByHall(ledger);
    int allReady = MachineView.sum(readyByHall.values());
    Map<String, Integer> inFlight = new HashMap<>();
    reports.forEach(r -> r.inFlight().forEach((name, n) -> inFlight.merge(name, n, Integer::sum)));
    // Collected once for all machines, as this is most of the work.
    Map<String, Set<String>> copies = copies(reports);
    List<Place> places = new ArrayList<>();
    Map<String, Boolean> urgent = new HashMap<>();
    for (Machine machine : ledger.machines()) {
      Plan plan = ledger.plan(machine.plan()).orElse(null);
      if (machine.stage() == Stage.WAITING && plan != null) {
        urgent.put(machine.name(), plan.urgent());
        places.add(
            place(
                ledger,
                view,
                plan,
                machine,
                readyByHall,
                allReady,
                lastCopies(machine.name(), ledger, view, copies).size(),
                inFlight.getOrDefault(machine.name(), 0)));
      }
    }
    places.sort(
        Comparator.comparing((Place p) -> !p.mayGo())
            .thenComparing(p -> !urgent.get(p.machine()))
            .thenComparingInt(Place::lastCopies)
            .thenComparingInt(p -> -p.readyInHall())
            .thenComparingInt(Place::inFlight)
            .thenComparing(Place::machine));
    return places;
  }

  private static Place place(
      Ledger ledger,
      MachineView view,
      Plan plan,
      Machine machine,
      Map<String, Integer> readyByHall,
      int allReady,
      int lastCopies,
      int inFlight) {
    List<String> reasons = new ArrayList<>();
    MachineView.ObservedMachine observed = view.get(machine.name());
    // A machine that is not ready costs no capacity when it goes.
    boolean serves = observed != null && observed.isReady();
    int readyInHall = readyByHall.getOrDefault(machine.hall(), 0);
    boolean mayGo = true;
    if (plan.state() != Ledger.State.RUNNING) {
      mayGo = false;
      reasons.add(
          "plan "
              + plan.id()
              + " is "
              + plan.state().name().toLowerCase(Locale.ROOT)
              + (plan.reason().isEmpty() ? "" : ": " + plan.reason()));
    }
    List<Machine> missing =
        ledger.machines().stream().filter(other -> other.stage().isMissing()).toList();
    int maxMissing =
        ledger.plans().stream()
            .filter(other -> !other.state().isOver())
            .mapToInt(Plan::maxMissing)
            .min()
            .orElse(1);
    if (missing.size() >= maxMissing) {
      mayGo = false;
      reasons.add(
          missing.size()
              + " of "
              + maxMissing
              + " at once are missing: "
              + missing.stream().map(Machine::name).toList());
    }
    if (plan.singleHall()
        && missing.stream().anyMatch(other -> !other.hall().equals(machine.hall()))) {
      mayGo = false;
      reasons.add("another hall is touched");
    }
    if (serves && allReady - 1 < plan.minReady()) {
      mayGo = false;
      reasons.add(allReady + " are ready, " + plan.minReady() + " must stay");
    }
    if (serves && readyInHall - 1 < plan.minReadyPerHall()) {
      mayGo = false;
      reasons.add(
          readyInHall
              + " are ready in "
              + machine.hall()
              + ", "
              + plan.minReadyPerHall()
              + " must stay");
    }
    reasons.add(
        (serves ? "ready" : "not ready")
            + ", "
            + lastCopies
            + " last copies, "
            + inFlight
            + " calls under way, "
            + readyInHall
            + " ready in "
            + machine.hall());
    return new Place(
        machine.name(),
        mayGo,
        lastCopies,
        inFlight,
        serves ? readyInHall : Integer.MAX_VALUE,
        List.copyOf(reasons));
  }

  /** Functions in use that are loaded on this machine and on no other one that stays, sorted. */
  public static List<String> lastCopies(
      String machine, Ledger ledger, MachineView view, List<FrontEndReport> reports) {
    return lastCopies(machine, ledger, view, copies(reports));
  }

  /** By function in use, the machines that any front end knows to have it loaded. */
  private static Map<String, Set<String>> copies(List<FrontEndReport> reports) {
    Map<String, Set<String>> copies = new HashMap<>();
    reports.forEach(
        r ->
            r.copies()
                .forEach(
                    (function, holders) ->
                        copies.computeIfAbsent(function, k -> new HashSet<>()).addAll(holders)));
    return copies;
  }

  private static List<String> lastCopies(
      String machine, Ledger ledger, MachineView view, Map<String, Set<String>> copies) {
    List<String> last = new ArrayList<>();
    copies.forEach(
        (function, holders) -> {
          if (holders.contains(machine)
              && holders.stream()
                  .noneMatch(other -> !other.equals(machine) && stays(other, ledger, view))) {
            last.add(function);
          }
        });
    last.sort(null);
    return last;
  }

  /** Whether a machine serves and is neither out nor about to go out. */
  private static boolean stays(String name, Ledger ledger, MachineView view) {
    MachineView.ObservedMachine observed = view.get(name);
    Machine planned = ledger.activeMachine(name);
    return observed != null
        && observed.listed()
        && !observed.failing()
        && (planned == null || !planned.stage().isMissing());
  }

  /**
   * Where a copy of a function of this machine is to be loaded: on the ready machine of the same
   * hall with the fewest calls in flight, else on one of any hall; null if there is none. Machines
   * in an unfinished stage of a plan are not chosen.
   */
  public static String target(
      String machine, Ledger ledger, MachineView view, List<FrontEndReport> reports) {
    MachineView.ObservedMachine source = view.get(machine);
    Map<String, Integer> inFlight = new HashMap<>();
    reports.forEach(r -> r.inFlight().forEach((name, n) -> inFlight.merge(name, n, Integer::sum)));
    return view.machines().keySet().stream()
        .filter(
            name ->
                !name.equals(machine)
                    && stays(name, ledger, view)
                    && view.get(name).isReady()
                    && ledger.activeMachine(name) == null)
        .min(
            Comparator.comparing(
                    (String name) -> source == null || !view.get(name).hall().equals(source.hall()))
                .thenComparingInt(name -> inFlight.getOrDefault(name, 0))
                .thenComparing(name -> name))
        .orElse(null);
  }
}
