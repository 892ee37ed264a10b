package umberrun.works;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import umberrun.works.Ledger.Machine;
import umberrun.works.Ledger.Plan;

/**
 * Which machine goes next: a pure function of the ledger, the reports and the machines as seen,
 * with its reasons, so that the same reports lead to the same order anywhere.
 */
public final class MachineOrder {
  /**
   * Where a machine stands in the order.
   *
   * @param may whether it may go now
   * @param reasons in plain words
   */
  public record Place(
      String machine,
      boolean may,
      int lastCopies,
      int underWay,
      int hallReady,
      List<String> reasons) {}

  private MachineOrder() {}

  /** All that wait, the one to go next first; those that may not go now come last. */
  public static List<Place> of(Ledger l, MachineView w, List<FrontEndReport> reports) {
    Map<String, Integer> ready = w.ready(l);
    int all = MachineView.sum(ready.values());
    Map<String, Integer> underWay = new HashMap<>();
    reports.forEach(r -> r.underWay().forEach((name, n) -> underWay.merge(name, n, Integer::sum)));
    Map<String, Set<String>> copies =
        copies(reports); // once for all machines: it is the most of the work
    List<Place> places = new ArrayList<>();
    Map<String, Boolean> urgent = new HashMap<>();
    for (Machine m : l.machines()) {
      Plan p = l.plan(m.plan()).orElse(null);
      if (m.stage() == Stage.WAITING && p != null) {
        urgent.put(m.name(), p.urgent());
        places.add(
            place(
                l,
                w,
                p,
                m,
                ready,
                all,
                lastCopies(m.name(), l, w, copies).size(),
                underWay.getOrDefault(m.name(), 0)));
      }
    }
    places.sort(
        Comparator.comparing((Place p) -> !p.may())
            .thenComparing(p -> !urgent.get(p.machine()))
            .thenComparingInt(Place::lastCopies)
            .thenComparingInt(p -> -p.hallReady())
            .thenComparingInt(Place::underWay)
            .thenComparing(Place::machine));
    return places;
  }

  private static Place place(
      Ledger l,
      MachineView w,
      Plan p,
      Machine m,
      Map<String, Integer> ready,
      int all,
      int copies,
      int underWay) {
    List<String> reasons = new ArrayList<>();
    MachineView.ObservedMachine s = w.get(m.name());
    boolean serves = s != null && s.isReady(); // one that serves nobody costs no capacity
    int inHall = ready.getOrDefault(m.hall(), 0);
    boolean may = true;
    if (p.state() != Ledger.State.RUNNING) {
      may = false;
      reasons.add(
          "plan "
              + p.id()
              + " is "
              + p.state().name().toLowerCase(java.util.Locale.ROOT)
              + (p.reason().isEmpty() ? "" : ": " + p.reason()));
    }
    List<Machine> missing = l.machines().stream().filter(o -> o.stage().isMissing()).toList();
    int atOnce =
        l.plans().stream().filter(o -> !o.state().isOver()).mapToInt(Plan::atOnce).min().orElse(1);
    if (missing.size() >= atOnce) {
      may = false;
      reasons.add(
          missing.size()
              + " of "
              + atOnce
              + " at once are missing: "
              + missing.stream().map(Machine::name).toList());
    }
    if (p.oneHall() && missing.stream().anyMatch(o -> !o.hall().equals(m.hall()))) {
      may = false;
      reasons.add("another hall is touched");
    }
    if (serves && all - 1 < p.floor()) {
      may = false;
      reasons.add(all + " are ready, " + p.floor() + " must stay");
    }
    if (serves && inHall - 1 < p.hallFloor()) {
      may = false;
      reasons.add(inHall + " are ready in " + m.hall() + ", " + p.hallFloor() + " must stay");
    }
    reasons.add(
        (serves ? "ready" : "not ready")
            + ", "
            + copies
            + " last copies, "
            + underWay
            + " calls under way, "
            + inHall
            + " ready in "
            + m.hall());
    return new Place(
        m.name(), may, copies, underWay, serves ? inHall : Integer.MAX_VALUE, List.copyOf(reasons));
  }

  /** Functions in use of which no machine that stays holds a copy but this one, in order. */
  public static List<String> lastCopies(
      String machine, Ledger l, MachineView w, List<FrontEndReport> reports) {
    return lastCopies(machine, l, w, copies(reports));
  }

  /** By function in use, the machines that hold it loaded as far as anybody knows. */
  private static Map<String, Set<String>> copies(List<FrontEndReport> reports) {
    Map<String, Set<String>> copies = new HashMap<>();
    reports.forEach(
        r ->
            r.copies()
                .forEach((f, at) -> copies.computeIfAbsent(f, x -> new HashSet<>()).addAll(at)));
    return copies;
  }

  private static List<String> lastCopies(
      String machine, Ledger l, MachineView w, Map<String, Set<String>> copies) {
    List<String> last = new ArrayList<>();
    copies.forEach(
        (function, at) -> {
          if (at.contains(machine)
              && at.stream().noneMatch(o -> !o.equals(machine) && stays(o, l, w))) {
            last.add(function);
          }
        });
    last.sort(null);
    return last;
  }

  private static boolean stays(String name, Ledger l, MachineView w) {
    MachineView.ObservedMachine s = w.get(name);
    Machine m = l.machine(name);
    return s != null && s.listed() && !s.failing() && (m == null || !m.stage().isMissing());
  }

  /**
   * Where a function's copy is to go: to a ready machine of the same hall with the least under way,
   * else of any.
   */
  public static String target(
      String machine, Ledger l, MachineView w, List<FrontEndReport> reports) {
    MachineView.ObservedMachine from = w.get(machine);
    Map<String, Integer> underWay = new HashMap<>();
    reports.forEach(r -> r.underWay().forEach((name, n) -> underWay.merge(name, n, Integer::sum)));
    return w.machines().keySet().stream()
        .filter(
            n -> !n.equals(machine) && stays(n, l, w) && w.get(n).isReady() && l.machine(n) == null)
        .min(
            Comparator.comparing((String n) -> from == null || !w.get(n).hall().equals(from.hall()))
                .thenComparingInt(n -> underWay.getOrDefault(n, 0))
                .thenComparing(n -> n))
        .orElse(null);
  }
}
