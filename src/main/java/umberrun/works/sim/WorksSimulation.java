package umberrun.works.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import umberrun.sim.VirtualNetwork;
import umberrun.works.FrontEndReport;
import umberrun.works.Ledger;
import umberrun.works.Ledger.Machine;
import umberrun.works.Ledger.Member;
import umberrun.works.Ledger.Plan;
import umberrun.works.Ledger.Refused;
import umberrun.works.MachineOrder;
import umberrun.works.MachineView;
import umberrun.works.PlanExecutor;
import umberrun.works.PlanParticipant;
import umberrun.works.Stage;

/**
 * Simulates front ends that send calls to machines continuously, and plans that take the machines
 * out, on a virtual network. The register is a single place that applies steps in order and may be
 * unreachable; replication is simulated elsewhere. Messages may be lost or duplicated. Each step is
 * checked: no call reaches a machine that is free for work, no more machines are missing than
 * allowed, and no plan goes below its minimum of ready machines by its own step.
 */
public final class WorksSimulation {
  /** Creates the parts under test; tests substitute faulty ones. */
  public interface Factory {
    /** The executor of a holder with the given fencing token. */
    default PlanExecutor executor(long fence) {
      return new PlanExecutor(DEFAULT_SETTINGS, fence);
    }

    /** Whether front ends serve after a start without the bans in force. */
    default boolean forgetsBans() {
      return false;
    }
  }

  /** A check that failed. */
  public static final class InvariantViolation extends RuntimeException {
    private static final long serialVersionUID = 1;

    InvariantViolation(String message) {
      super(message);
    }
  }

  private static final long MILLISECOND = 1_000;
  private static final long SECOND = 1_000_000;

  /** Settings of the executors. */
  public static final PlanExecutor.Settings DEFAULT_SETTINGS =
      new PlanExecutor.Settings(3 * SECOND, 2 * SECOND, 1.8, 0.3);

  // All durations are in microseconds.
  private static final long TICK_MICROS = 200 * MILLISECOND;
  private static final long REPORT_INTERVAL_MICROS = 300 * MILLISECOND;
  private static final long COLD_MICROS = 3 * SECOND;
  private static final long WORK_MICROS = 2 * SECOND;
  private static final int MIN_FUNCTIONS = 12;
  private static final int COPIES_PER_MACHINE = 4;

  /** The actual state of a machine. */
  private static final class SimulatedMachine {
    final String name;
    final String hall;
    boolean listed = true;
    boolean gone;
    long startedAt;
    long coldUntil;
    boolean failing;
    final Set<String> copies = new HashSet<>();

    SimulatedMachine(String name, String hall) {
      this.name = name;
      this.hall = hall;
    }
  }

  /** A front end; a restart replaces its process. */
  private final class FrontEnd {
    final int number;
    Member self;
    PlanParticipant participant;

    /** The bans that bind here, by machine, with the step that began each. */
    Map<String, Long> applied = new LinkedHashMap<>();

    /** Calls in flight, by machine. */
    Map<String, Integer> inFlight = new HashMap<>();

    final Map<String, FrontEndReport> reports = new TreeMap<>();
    int processNumber;
    boolean serves;
    PlanExecutor executor;

    /** -1 unless this front end believes that it holds the duty. */
    long fence = -1;

    boolean stepPending;

    FrontEnd(int number) {
      this.number = number;
    }

    void start() {
      processNumber++;
      self = new Member("f" + number, Long.toHexString(random.nextInt(1 << 30)));
      participant = new PlanParticipant(self);
      applied = new LinkedHashMap<>();
      inFlight = new HashMap<>();
      reports.clear();
      executor = null;
      fence = -1;
      stepPending = false;
      serves = false;
      net.discardPending(number);
      join();
    }

    /** Serves once it is a member of the ledger, as it then has read the bans in force. */
    private void join() {
      Member m = self;
      int ownProcess = processNumber;
      change(
          number,
          l -> l.join(m, true),
          (version, l) -> {
            if (processNumber == ownProcess && l != null && !serves) {
              if (!factory.forgetsBans()) {
                update(version, l);
              }
              serves = true;
              tick();
              report();
              send();
            }
          });
      later(
          SECOND,
          () -> {
            if (!serves) {
              join();
            }
          });
    }

    /** Schedules a task of this process; it does not run after a restart. */
    void later(long span, Runnable task) {
      int ownProcess = processNumber;
      net.at(
          number,
          net.now() + span,
          () -> {
            if (processNumber == ownProcess) {
              task.run();
            }
          });
    }

    void update(long version, Ledger l) {
      if (participant.update(version, l)) {
        applied = participant.banned();
        // Removed by an operator who thought it lost, or by a late message of its earlier process.
        if (serves && participant.isRemoved()) {
          Member m = self;
          change(number, x -> x.join(m, true), (v, x) -> {});
        }
      }
    }

    /** Sends calls to random machines that are listed and not banned, at random intervals. */
    private void send() {
      later(
          (long) (random.nextDouble() * 60 * MILLISECOND / trafficFactor),
          () -> {
            SimulatedMachine target =
                simulatedMachines.get(random.nextInt(simulatedMachines.size()));
            if (target.listed && !applied.containsKey(target.name)) {
              inFlight.merge(target.name, 1, Integer::sum);
              Map<String, Integer> ownInFlight = inFlight;
              String function = "f" + random.nextInt(functionCount);
              net.at(net.now() + net.delay(), () -> arrive(target, function, self));
              long duration =
                  random.nextInt(200) == 0 ? 4 * SECOND : random.nextLong(300 * MILLISECOND);
              net.at(
                  number,
                  net.now() + 10 * MILLISECOND + duration,
                  () -> ownInFlight.merge(target.name, -1, Integer::sum));
            }
            send();
          });
    }

    private void report() {
      FrontEndReport report = ownReport();
      for (FrontEnd other : frontEnds) {
        if (other.fence >= 0 || other == this) {
          net.send(number, other.number, () -> other.reports.put(report.member().name(), report));
        }
      }
      later(REPORT_INTERVAL_MICROS, this::report);
    }

    private FrontEndReport ownReport() {
      Map<String, Set<String>> copies = new TreeMap<>();
      for (SimulatedMachine machine : simulatedMachines) {
        for (String function : machine.copies) {
          copies.computeIfAbsent(function, k -> new HashSet<>()).add(machine.name);
        }
      }
      return participant.report(
          applied,
          name -> inFlight.getOrDefault(name, 0),
          Map.copyOf(inFlight),
          copies,
          10 * trafficFactor,
          0);
    }

    /**
     * The holder drives the plans and sends its ledger to the others; the others read the register
     * now and then.
     */
    private void tick() {
      if (fence < 0 && random.nextInt(5) == 0) {
        change(
            number,
            l -> l,
            (version, l) -> {
              if (l != null) {
                update(version, l);
              }
            });
      }
      if (fence >= 0 && !stepPending) {
        Ledger known = participant.ledger();
        long version = participant.version();
        for (FrontEnd other : frontEnds) {
          if (other != this && version >= 0) {
            int otherProcess = other.processNumber;
            net.send(
                number,
                other.number,
                () -> {
                  if (other.serves && other.processNumber == otherProcess) {
                    other.update(version, known);
                  }
                });
          }
        }
        PlanExecutor.PlannedStep plannedStep =
            version < 0
                ? null
                : executor.nextStep(net.now(), known, view(), List.copyOf(reports.values()));
        for (PlanExecutor.CopyMove move :
            version < 0
                ? List.<PlanExecutor.CopyMove>of()
                : executor.copyMoves(known, view(), List.copyOf(reports.values()))) {
          copyMoves += machine(move.to()).copies.add(move.function()) ? 1 : 0;
        }
        if (plannedStep != null) {
          stepPending = true;
          int ownProcess = processNumber;
          change(
              number,
              plannedStep.step(),
              (v, l) -> {
                if (processNumber == ownProcess) {
                  stepPending = false;
                  if (l != null) {
                    update(v, l);
                  } else {
                    change(
                        number,
                        x -> x,
                        (again, x) -> {
                          if (x != null && processNumber == ownProcess) {
                            update(again, x);
                          }
                        });
                  }
                }
              });
          // In case the answer is lost.
          later(2 * SECOND, () -> stepPending = false);
        }
      }
      later(TICK_MICROS, this::tick);
    }
  }

  private final VirtualNetwork net;
  private final SplittableRandom random;
  private final Factory factory;
  private final List<FrontEnd> frontEnds = new ArrayList<>();
  private final List<SimulatedMachine> simulatedMachines = new ArrayList<>();
  private final int register;

  /**
   * Twice the number of machines, so that many copies are the last one; {@link #MIN_FUNCTIONS} with
   * at most as many machines.
   */
  private final int functionCount;

  private Ledger ledger = Ledger.EMPTY;
  private long version;
  private boolean registerReachable = true;
  private double trafficFactor = 1;
  private long lastFence;
  private int sentCalls;
  private int freedMachines;
  private int copyMoves;
  private int callsCutOff;

  /** Starts the front ends; {@code machinesPerHall} machines stand in each hall. */
  public WorksSimulation(
      int frontCount, int halls, int machinesPerHall, long seed, Factory factory) {
    this.random = new SplittableRandom(seed);
    this.factory = factory;
    this.register = frontCount;
    this.functionCount =
        Math.max(
            MIN_FUNCTIONS,
            halls * machinesPerHall > MIN_FUNCTIONS ? 2 * halls * machinesPerHall : 0);
    this.net = new VirtualNetwork(frontCount + 1, random.split());
    net.setLinks(0, 0.02, 200, 5_000);
    for (int h = 0; h < halls; h++) {
      for (int i = 0; i < machinesPerHall; i++) {
        SimulatedMachine p = new SimulatedMachine("w" + h + i, "hall" + h);
        for (int f = 0; f < COPIES_PER_MACHINE; f++) {
          p.copies.add("f" + random.nextInt(functionCount));
        }
        simulatedMachines.add(p);
      }
    }
    for (int i = 0; i < frontCount; i++) {
      frontEnds.add(new FrontEnd(i));
    }
    frontEnds.forEach(FrontEnd::start);
    scheduleLeaseCheck();
  }

  /** The network, on which tests cause faults; the register is its last node. */
  public VirtualNetwork net() {
    return net;
  }

  /** The ledger in the register. */
  public Ledger ledger() {
    return ledger;
  }

  /** Number of times that a machine became free for work. */
  public int freedMachines() {
    return freedMachines;
  }

  /** Number of copies that were loaded elsewhere before the last one went out. */
  public int copyMoves() {
    return copyMoves;
  }

  /** Number of calls that were in flight at machines when these went out. */
  public int callsCutOff() {
    return callsCutOff;
  }

  /** Number of calls that reached machines. */
  public int sentCalls() {
    return sentCalls;
  }

  private SimulatedMachine machine(String name) {
    return simulatedMachines.stream().filter(p -> p.name.equals(name)).findFirst().orElseThrow();
  }

  private MachineView view() {
    Map<String, MachineView.ObservedMachine> seen = new TreeMap<>();
    for (SimulatedMachine machine : simulatedMachines) {
      seen.put(
          machine.name,
          new MachineView.ObservedMachine(
              machine.hall,
              "std",
              machine.listed,
              machine.gone,
              machine.startedAt / MILLISECOND,
              net.now() < machine.coldUntil,
              machine.failing));
    }
    return new MachineView(seen);
  }

  // ---------------------------------------------------------------- the register and the lease

  /**
   * Applies a step to the ledger in the register, unless the step is refused, and passes on the
   * ledger with its version. No answer comes if a message is lost or the register is unreachable.
   */
  private void change(int from, UnaryOperator<Ledger> step, BiConsumer<Long, Ledger> then) {
    boolean[] made = new boolean[1];
    net.send(
        from,
        register,
        () -> {
          // A duplicate of the message is ignored.
          if (!registerReachable || made[0]) {
            return;
          }
          made[0] = true;
          try {
            Ledger next = step.apply(ledger);
            if (next.steps() != ledger.steps()) {
              check(ledger, next);
              ledger = next;
              version++;
              startWork();
            }
          } catch (Refused e) {
            // The answer is the unchanged ledger.
          }
          long v = version;
          Ledger l = ledger;
          net.send(register, from, () -> then.accept(v, l));
        });
  }

  /**
   * Every 3 s, makes sure that a front end that reaches the register holds the duty. A holder that
   * is paused or cut off still believes that it holds it.
   */
  private void scheduleLeaseCheck() {
    net.at(
        net.now() + 3 * SECOND,
        () -> {
          FrontEnd holder =
              frontEnds.stream()
                  .filter(f -> f.fence == lastFence && lastFence > 0)
                  .findFirst()
                  .orElse(null);
          boolean holderIsHealthy =
              holder != null
                  && !net.isPaused(holder.number)
                  && net.isOpen(holder.number, register)
                  && random.nextInt(6) > 0;
          if (!holderIsHealthy && registerReachable) {
            List<FrontEnd> candidates =
                frontEnds.stream()
                    .filter(
                        f -> f.serves && !net.isPaused(f.number) && net.isOpen(f.number, register))
                    .toList();
            if (!candidates.isEmpty()) {
              FrontEnd next = candidates.get(random.nextInt(candidates.size()));
              if (holder != null
                  && holder != next
                  && !net.isPaused(holder.number)
                  && random.nextInt(3) > 0) {
                // In most cases the earlier holder notices.
                holder.fence = -1;
              }
              next.fence = ++lastFence;
              next.executor = factory.executor(lastFence);
              next.reports.clear();
            }
          }
          scheduleLeaseCheck();
        });
  }

  // ---------------------------------------------------------------- checks

  private void arrive(SimulatedMachine target, String function, Member from) {
    sentCalls++;
    Machine planned = ledger.activeMachine(target.name);
    if (planned != null
        && planned.stage() == Stage.FREE
        && planned.forcedMembers().isEmpty()
        && !manuallyResumed.contains(target.name)) {
      throw new InvariantViolation(
          from + " sent to " + target.name + ", which is free for work, at " + net.now());
    }
    target.copies.add(function);
    if (target.copies.size() > COPIES_PER_MACHINE) {
      target.copies.remove(
          target.copies.stream()
              .sorted()
              .skip(random.nextInt(target.copies.size()))
              .findFirst()
              .orElseThrow());
    }
  }

  /** Checks the transitions of a step. */
  private void check(Ledger before, Ledger after) {
    for (Machine machine : after.machines()) {
      Machine previous =
          before.machines().stream()
              .filter(
                  other ->
                      other.name().equals(machine.name()) && other.plan().equals(machine.plan()))
              .findFirst()
              .orElse(null);
      if (previous == null || previous.stage() == machine.stage()) {
        continue;
      }
      if (previous.stage().isOver() || machine.stage().ordinal() < previous.stage().ordinal()) {
        throw new InvariantViolation(
            machine.name()
                + " went from "
                + previous.stage()
                + " to "
                + machine.stage()
                + " at "
                + net.now());
      }
      if (machine.stage() == Stage.MOVING) {
        checkStart(after, machine);
      } else if (machine.stage() == Stage.GOING) {
        callsCutOff +=
            frontEnds.stream().mapToInt(f -> f.inFlight.getOrDefault(machine.name(), 0)).sum();
      }
    }
  }

  /** Checks the limits of the plan whose machine is about to go out. */
  private void checkStart(Ledger after, Machine machine) {
    long missing = after.machines().stream().filter(other -> other.stage().isMissing()).count();
    Plan plan = after.plan(machine.plan()).orElseThrow();
    if (missing > plan.maxMissing()) {
      throw new InvariantViolation(
          missing + " are missing, " + plan.maxMissing() + " may be, at " + net.now());
    }
    if (plan.singleHall()
        && after.machines().stream()
            .anyMatch(other -> other.stage().isMissing() && !other.hall().equals(machine.hall()))) {
      throw new InvariantViolation("two halls at " + net.now());
    }
    MachineView view = view();
    if (view.get(machine.name()).listed()) {
      long ready =
          simulatedMachines.stream()
              .filter(
                  candidate ->
                      candidate.listed && !candidate.failing && net.now() >= candidate.coldUntil)
              .filter(
                  candidate -> {
                    Machine other = after.activeMachine(candidate.name);
                    return other == null || !other.stage().isMissing();
                  })
              .count();
      if (ready < plan.minReady() - unplannedLosses) {
        throw new InvariantViolation(
            ready + " are ready, " + plan.minReady() + " must stay, at " + net.now());
      }
    }
  }

  /** Number of machines that were lost for other reasons, possibly unseen by the holder. */
  private int unplannedLosses;

  /** Simulates the operators: a free machine is worked on, and then restarted. */
  private void startWork() {
    for (Machine machine : ledger.machines()) {
      if (machine.stage() == Stage.FREE
          && !startedWork.contains(machine.name() + machine.banStep())) {
        startedWork.add(machine.name() + machine.banStep());
        freedMachines++;
        net.at(
            net.now() + WORK_MICROS,
            () -> {
              Machine current = ledger.activeMachine(machine.name());
              // An operator may have reported the work as done meanwhile.
              if (current == null
                  || current.banStep() != machine.banStep()
                  || current.stage() != Stage.FREE) {
                return;
              }
              SimulatedMachine worked = machine(machine.name());
              worked.startedAt = net.now();
              worked.coldUntil = net.now() + COLD_MICROS;
              worked.copies.clear();
            });
      }
    }
  }

  private final Set<String> startedWork = new HashSet<>();

  // ---------------------------------------------------------------- events

  /** Orders a plan at a front end; has no effect if the plan exists already. */
  public void plan(int at, String id, Plan plan, List<String> machines) {
    List<Machine> wanted =
        machines.stream()
            .map(
                n -> new Machine(n, machine(n).hall, id, Stage.WAITING, 0, 0, false, List.of(), ""))
            .toList();
    order(at, l -> l.plan(id).isPresent() ? l : l.addPlan(plan, wanted));
  }

  /** Makes the step of an operator at a front end. */
  public void order(int at, UnaryOperator<Ledger> step) {
    change(at, step, (v, l) -> {});
  }

  /** The names of all machines. */
  public List<String> names() {
    return simulatedMachines.stream().map(p -> p.name).toList();
  }

  /** Restarts a front end; a holder loses the duty. */
  public void restart(int front) {
    if (frontEnds.get(front).fence == lastFence) {
      frontEnds.get(front).fence = -1;
    }
    frontEnds.get(front).start();
  }

  /** Sets whether the register answers. */
  public void setRegisterReachable(boolean reachable) {
    registerReachable = reachable;
  }

  /** Sets the traffic as a multiple of the normal one. */
  public void setTrafficFactor(double factor) {
    trafficFactor = factor;
  }

  /** Sets whether a machine is failing. */
  public void setFailing(String name, boolean failing) {
    machine(name).failing = failing;
    unplannedLosses = failing ? unplannedLosses + 1 : unplannedLosses;
  }

  /** Takes a machine off the worker list; {@code forever} if its name never comes back. */
  public void removeFromList(String name, boolean forever) {
    machine(name).listed = false;
    machine(name).gone |= forever;
    unplannedLosses++;
  }

  /** Puts a machine on the worker list again, unless it was removed forever. */
  public void restoreToList(String name) {
    SimulatedMachine machine = machine(name);
    if (!machine.gone) {
      machine.listed = true;
    }
  }

  /** Resumes a machine manually at a front end. */
  public void resumeManually(int front, String name) {
    FrontEnd frontEnd = frontEnds.get(front);
    if (frontEnd.serves && frontEnd.participant.resumeManually(name)) {
      frontEnd.applied = frontEnd.participant.banned();
      // From now on this front end may send to the machine even if the plan has it free for work.
      // The operator who resumed it has asked those who work on it, and the plan learns of it.
      manuallyResumed.add(name);
    }
  }

  private final Set<String> manuallyResumed = new HashSet<>();

  /** Number of front ends. */
  public int frontCount() {
    return frontEnds.size();
  }

  /** For failure messages: which front ends the holder waits for, and the ledger. */
  public String describeProgress() {
    StringBuilder text = new StringBuilder();
    for (FrontEnd frontEnd : frontEnds) {
      if (frontEnd.fence == lastFence && frontEnd.executor != null) {
        for (Machine machine : ledger.machines()) {
          if (machine.stage() == Stage.GOING || machine.stage() == Stage.QUIET) {
            text.append(machine.name())
                .append(' ')
                .append(
                    frontEnd.executor.blockingFrontEnds(
                        ledger,
                        machine,
                        List.copyOf(frontEnd.reports.values()),
                        machine.stage() == Stage.QUIET));
          }
        }
      }
    }
    return text
        + " roll "
        + ledger.members()
        + " plans "
        + ledger.plans()
        + " machines "
        + ledger.machines().stream().filter(machine -> !machine.stage().isOver()).toList();
  }

  /** The places of the waiting machines with their reasons, without any reports. */
  public List<MachineOrder.Place> places() {
    return MachineOrder.of(ledger, view(), List.of());
  }

  /** Runs the simulation for a span in microseconds. */
  public void run(long span) {
    net.run(net.now() + span);
  }
}
