package umberrun.works;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;
import umberrun.works.Ledger.Late;
import umberrun.works.Ledger.Machine;
import umberrun.works.Ledger.Plan;
import umberrun.works.Ledger.Refused;
import umberrun.works.Ledger.State;

/**
 * Drives all plans while this front end holds the duty {@code works}: from the ledger, the reports
 * and the observed machines it decides on the next step, one at a time. Free of I/O, threads and
 * clocks; times are in microseconds of the local monotonic clock.
 */
public class PlanExecutor {
  /**
   * Settings for all plans.
   *
   * @param recoveryTime a held plan goes on after so many microseconds without a disturbance
   * @param moveTimeout microseconds after which a machine goes out though it still has last copies
   * @param trafficJumpFactor traffic above this multiple of its mean holds plans
   * @param maxRefusedShare a share of refused calls above this holds plans
   */
  public record Settings(
      long recoveryTime, long moveTimeout, double trafficJumpFactor, double maxRefusedShare) {}

  /** A change to be made to the ledger in the register, and a short text that names it. */
  public record PlannedStep(String description, UnaryOperator<Ledger> step) {}

  /**
   * Asks a front end to have a function loaded on another machine, before the machine with the last
   * copy goes out.
   *
   * @param function its hexadecimal id
   * @param to name of the machine
   * @param member name of the front end
   */
  public record CopyMove(String function, String to, String member) {}

  /** Less traffic than this is too little to tell a jump or a share of refused calls. */
  private static final double MIN_CALLS_PER_SECOND = 20;

  /** Span over which the mean of the traffic is formed. */
  private static final double MEAN_SPAN_MICROS = 60_000_000;

  /** The mean counts only after it was formed over so long. */
  private static final double WARM_UP_MICROS = 5_000_000;

  private final Settings settings;
  private final long fence;

  /** When this holder first saw a machine in its current stage, by machine, stage and plan. */
  private final Map<String, Long> firstSeenAt = new HashMap<>();

  /** When each plan was last disturbed, by plan id. */
  private final Map<String, Long> lastDisturbedAt = new HashMap<>();

  private boolean tookOver;
  private double meanCallsPerSecond = -1;
  private long meanUpdatedAt;
  private double meanSpanMicros;

  /**
   * @param fence fencing token under which this front end holds the duty
   */
  public PlanExecutor(Settings settings, long fence) {
    this.settings = settings;
    this.fence = fence;
  }

  /** The next step, or null if there is nothing to do but wait. */
  public PlannedStep nextStep(
      long now, Ledger ledger, MachineView view, List<FrontEndReport> reports) {
    if (!tookOver && ledger.fence() < fence) {
      // From this step on the ledger refuses an earlier holder, which saw other machines.
      return plannedStep("takes over", ledger, current -> current.takeOver(currentFence(current)));
    }
    tookOver = true;
    String disturbance = disturbance(now, ledger, view, reports);
    Set<String> keys = new HashSet<>();
    for (Machine m : ledger.machines()) {
      if (!m.stage().isOver()) {
        String key = m.name() + m.stage() + m.plan();
        keys.add(key);
        PlannedStep step =
            step(now - firstSeenAt.computeIfAbsent(key, k -> now), ledger, view, reports, m);
        if (step != null) {
          return step;
        }
      }
    }
    firstSeenAt.keySet().retainAll(keys);
    for (Plan p : ledger.plans()) {
      PlannedStep step = step(now, ledger, p, disturbance);
      if (step != null) {
        return step;
      }
    }
    return startNext(ledger, view, reports);
  }

  /** A step that is refused if the ledger has changed since the step was decided. */
  private PlannedStep plannedStep(String description, Ledger seen, UnaryOperator<Ledger> step) {
    return new PlannedStep(
        description,
        current -> {
          if (isOvertaken(seen, current)) {
            throw new Refused("overtaken by another step");
          }
          return step.apply(current);
        });
  }

  /** Whether the ledger has changed since a decision; tests override it with a faulty one. */
  protected boolean isOvertaken(Ledger seen, Ledger now) {
    return seen.steps() != now.steps();
  }

  /** The fencing token under which it acts; tests override it with a faulty one. */
  protected long currentFence(Ledger ledger) {
    return fence;
  }

  // ---------------------------------------------------------------- machines

  /** The step that is due for one machine, or null. */
  private PlannedStep step(
      long microsInStage,
      Ledger ledger,
      MachineView view,
      List<FrontEndReport> reports,
      Machine machine) {
    Plan plan = ledger.plan(machine.plan()).orElseThrow();
    MachineView.ObservedMachine observed = view.get(machine.name());
    String resumedAt =
        reports.stream()
            .filter(r -> r.resumed().contains(machine.name()))
            .map(r -> r.member().name())
            .findFirst()
            .orElse(null);
    if (resumedAt != null && machine.stage().isOut()) {
      return failed(ledger, machine, "resumed by hand at " + resumedAt);
    }
    // A free machine may leave the list while it is worked on; its operator says when that is done.
    if (observed != null && observed.gone() && machine.stage() != Stage.FREE) {
      return failed(ledger, machine, "gone from the list");
    }
    if (microsInStage >= plan.stageLimitMillis() * 1_000
        && machine.stage() != Stage.WAITING
        && machine.stage() != Stage.MOVING
        && !machine.overdue()) {
      return overdue(ledger, plan, machine);
    }
    return switch (machine.stage()) {
      case MOVING -> {
        List<String> lastCopies = MachineOrder.lastCopies(machine.name(), ledger, view, reports);
        yield lastCopies.isEmpty() || microsInStage >= settings.moveTimeout || observed == null
            ? advance(
                ledger,
                machine,
                Stage.GOING,
                observed == null ? 0 : observed.startedAt(),
                lastCopies.isEmpty() ? "" : lastCopies.size() + " last copies could not be placed")
            : null;
      }
      case GOING ->
          blockingFrontEnds(ledger, machine, reports, false).isEmpty()
              ? advance(ledger, machine, Stage.QUIET, machine.startedAtMillis(), "")
              : null;
      case QUIET ->
          blockingFrontEnds(ledger, machine, reports, true).isEmpty()
              ? advance(ledger, machine, Stage.FREE, machine.startedAtMillis(), "")
              : null;
      case FREE ->
          observed != null && observed.listed() && observed.startedAt() > machine.startedAtMillis()
              ? advance(ledger, machine, Stage.BACK, observed.startedAt(), "started anew")
              : null;
      case BACK ->
          observed != null && observed.isReady()
              ? advance(ledger, machine, Stage.DONE, machine.startedAtMillis(), "")
              : null;
      default -> null;
    };
  }

  private PlannedStep advance(
      Ledger ledger, Machine machine, Stage next, long startedAtMillis, String note) {
    return plannedStep(
        machine.name() + " " + next,
        ledger,
        current ->
            current.advance(currentFence(current), machine.name(), next, startedAtMillis, note));
  }

  /** Marks a machine as failed and holds its plan. */
  private PlannedStep failed(Ledger ledger, Machine machine, String reason) {
    return plannedStep(
        machine.name() + " failed",
        ledger,
        current -> {
          Ledger next =
              current.advance(
                  currentFence(current),
                  machine.name(),
                  Stage.FAILED,
                  machine.startedAtMillis(),
                  reason);
          return next.plan(machine.plan()).orElseThrow().state() == State.RUNNING
              ? next.hold(currentFence(next), machine.plan(), machine.name() + " " + reason)
              : next;
        });
  }

  private PlannedStep overdue(Ledger ledger, Plan plan, Machine machine) {
    if (plan.whenOverdue() == Late.SKIP && machine.stage().leadsTo(Stage.SKIPPED)) {
      return advance(ledger, machine, Stage.SKIPPED, machine.startedAtMillis(), "overdue");
    }
    return plannedStep(
        machine.name() + " overdue",
        ledger,
        current -> {
          Ledger next = current.markOverdue(currentFence(current), machine.name());
          return plan.whenOverdue() == Late.HOLD && plan.state() == State.RUNNING
              ? next.hold(currentFence(next), plan.id(), machine.name() + " is overdue")
              : next;
        });
  }

  /**
   * The front ends for which a machine waits: members that have not confirmed its ban, or still
   * have calls in flight there. No answer never counts as a confirmation.
   *
   * @param idle whether to wait also until no calls are in flight
   */
  public List<String> blockingFrontEnds(
      Ledger ledger, Machine machine, List<FrontEndReport> reports, boolean idle) {
    List<String> blocking = new ArrayList<>();
    for (Ledger.Member member : ledger.members()) {
      if (!machine.forcedMembers().contains(member.name())
          && !hasConfirmed(member, machine, reports, idle)) {
        blocking.add(member.name());
      }
    }
    return blocking;
  }

  /**
   * Whether a member has confirmed the ban of a machine and, if {@code idle}, has no calls in
   * flight there; tests override it with a faulty one.
   */
  protected boolean hasConfirmed(
      Ledger.Member member, Machine machine, List<FrontEndReport> reports, boolean idle) {
    return reports.stream()
        .anyMatch(
            r -> {
              FrontEndReport.BanProgress progress =
                  r.member().equals(member) ? r.bans().get(machine.name()) : null;
              return progress != null
                  && progress.banStep() == machine.banStep()
                  && (!idle || progress.inFlight() == 0);
            });
  }

  // ---------------------------------------------------------------- plans

  /** The step that is due for one plan, or null. */
  private PlannedStep step(long now, Ledger ledger, Plan plan, String disturbance) {
    if (disturbance != null) {
      lastDisturbedAt.put(plan.id(), now);
    }
    if (plan.state() == State.RUNNING && disturbance != null) {
      return plannedStep(
          "plan " + plan.id() + " held",
          ledger,
          current -> current.hold(currentFence(current), plan.id(), disturbance));
    }
    long undisturbed = now - lastDisturbedAt.computeIfAbsent(plan.id(), k -> now);
    if (plan.state() == State.HELD
        && !plan.manualResume()
        && undisturbed >= settings.recoveryTime) {
      return plannedStep(
          "plan " + plan.id() + " goes on",
          ledger,
          current -> current.release(currentFence(current), plan.id()));
    }
    boolean allOver =
        ledger.machines().stream().allMatch(m -> !m.plan().equals(plan.id()) || m.stage().isOver());
    return plan.state() == State.RUNNING && allOver
        ? plannedStep(
            "plan " + plan.id() + " ended",
            ledger,
            current -> current.endPlan(currentFence(current), plan.id()))
        : null;
  }

  /** Lets the next machine go out, if it may. */
  private PlannedStep startNext(Ledger ledger, MachineView view, List<FrontEndReport> reports) {
    List<MachineOrder.Place> places = machineOrder(ledger, view, reports);
    if (places.isEmpty() || !places.get(0).mayGo()) {
      return null;
    }
    MachineOrder.Place first = places.get(0);
    Machine machine = ledger.activeMachine(first.machine());
    MachineView.ObservedMachine observed = view.get(machine.name());
    if (observed == null) {
      return failed(ledger, machine, "not on the list");
    }
    return plannedStep(
        machine.name() + " MOVING",
        ledger,
        current ->
            current.advance(
                currentFence(current),
                machine.name(),
                Stage.MOVING,
                observed.startedAt(),
                String.join("; ", first.reasons())));
  }

  /** The order of the waiting machines; overridden to compare it with simpler orders. */
  protected List<MachineOrder.Place> machineOrder(
      Ledger ledger, MachineView view, List<FrontEndReport> reports) {
    return MachineOrder.of(ledger, view, reports);
  }

  /** Why plans must be held now, or null; also updates the mean of the traffic. */
  private String disturbance(
      long now, Ledger ledger, MachineView view, List<FrontEndReport> reports) {
    double calls = reports.stream().mapToDouble(FrontEndReport::callsPerSecond).sum();
    double refused = reports.stream().mapToDouble(FrontEndReport::refusedPerSecond).sum();
    double previousMean = meanCallsPerSecond;
    if (meanCallsPerSecond < 0) {
      meanCallsPerSecond = calls;
    } else {
      double elapsed = Math.min(now - meanUpdatedAt, MEAN_SPAN_MICROS);
      meanSpanMicros = Math.min(MEAN_SPAN_MICROS, meanSpanMicros + elapsed);
      meanCallsPerSecond +=
          (calls - meanCallsPerSecond)
              * Math.min(1, elapsed / Math.max(WARM_UP_MICROS, meanSpanMicros));
    }
    meanUpdatedAt = now;
    if (previousMean > MIN_CALLS_PER_SECOND
        && meanSpanMicros >= WARM_UP_MICROS
        && calls > settings.trafficJumpFactor * previousMean) {
      return String.format("traffic jumped from %.0f to %.0f calls a second", previousMean, calls);
    }
    if (calls > MIN_CALLS_PER_SECOND && refused > settings.maxRefusedShare * calls) {
      return String.format("%.0f of %.0f calls a second are refused", refused, calls);
    }
    // By hall: the number of machines that should serve, and how many of them are failing.
    Map<String, int[]> halls = new HashMap<>();
    view.machines()
        .forEach(
            (name, observed) -> {
              Machine planned = ledger.activeMachine(name);
              if (observed.listed() && (planned == null || !planned.stage().isMissing())) {
                int[] counts = halls.computeIfAbsent(observed.hall(), h -> new int[2]);
                counts[0]++;
                counts[1] += observed.failing() ? 1 : 0;
              }
            });
    return halls.entrySet().stream()
        .filter(e -> e.getValue()[0] > 1 && 2 * e.getValue()[1] > e.getValue()[0])
        .map(Map.Entry::getKey)
        .min(Comparator.naturalOrder())
        .map(hall -> "hall " + hall + " is lost")
        .orElse(null);
  }

  /** Loads to be requested now, for machines that are about to go out with last copies. */
  public List<CopyMove> copyMoves(Ledger ledger, MachineView view, List<FrontEndReport> reports) {
    List<CopyMove> moves = new ArrayList<>();
    for (Machine machine : ledger.machines()) {
      if (machine.stage() == Stage.MOVING) {
        for (String function : MachineOrder.lastCopies(machine.name(), ledger, view, reports)) {
          String target = MachineOrder.target(machine.name(), ledger, view, reports);
          reports.stream()
              .filter(r -> r.copies().containsKey(function))
              .max(
                  Comparator.comparingDouble(FrontEndReport::callsPerSecond)
                      .thenComparing(r -> r.member().name()))
              .ifPresent(
                  report -> {
                    if (target != null) {
                      moves.add(new CopyMove(function, target, report.member().name()));
                    }
                  });
        }
      }
    }
    return moves;
  }
}
