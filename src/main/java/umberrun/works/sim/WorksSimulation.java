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
 * Front ends that send calls to machines all the time, and plans that take the machines out, on the
 * virtual network. The register is one place that makes steps in order (how a majority comes to
 * that is tried elsewhere), and may be out of reach; answers get lost. After each step: nothing
 * reaches a machine that is free for work, no more are missing than allowed, no floor is broken by
 * a plan's own step.
 */
public final class WorksSimulation {
  /** Makes the machines; tests put in ones that are broken on purpose. */
  public interface Factory {
    default PlanExecutor driver(long fence) {
      return new PlanExecutor(SETTINGS, fence);
    }

    default boolean forgetsBans() {
      return false;
    }
  }

  /** A check that does not hold. */
  public static final class InvariantViolation extends RuntimeException {
    private static final long serialVersionUID = 1;

    InvariantViolation(String message) {
      super(message);
    }
  }

  private static final long MS = 1_000;
  private static final long SECOND = 1_000_000;
  public static final PlanExecutor.Settings SETTINGS =
      new PlanExecutor.Settings(3 * SECOND, 2 * SECOND, 1.8, 0.3);
  private static final long BEAT = 200 * MS;
  private static final long REPORT = 300 * MS;
  private static final long COLD = 3 * SECOND;
  private static final long WORK = 2 * SECOND;
  private static final int FEW_FUNCTIONS = 12;
  private static final int COPIES_EACH = 4;

  /** A machine as it is. */
  private static final class Place {
    final String name;
    final String hall;
    boolean listed = true;
    boolean gone;
    long since;
    long coldUntil;
    boolean failing;
    final Set<String> copies = new HashSet<>();

    Place(String name, String hall) {
      this.name = name;
      this.hall = hall;
    }
  }

  /** A front end. */
  private final class Front {
    final int number;
    Member self;
    PlanParticipant crew;
    Map<String, Long> applied = new LinkedHashMap<>();
    Map<String, Integer> out = new HashMap<>();
    final Map<String, FrontEndReport> reports = new TreeMap<>();
    int life;
    boolean serves;
    PlanExecutor driver;
    long fence = -1;
    boolean steps;

    Front(int number) {
      this.number = number;
    }

    void start() {
      life++;
      self = new Member("f" + number, Long.toHexString(random.nextInt(1 << 30)));
      crew = new PlanParticipant(self);
      applied = new LinkedHashMap<>();
      out = new HashMap<>();
      reports.clear();
      driver = null;
      fence = -1;
      steps = false;
      serves = false;
      net.discardPending(number);
      join();
    }

    /** It serves once it is on the roll, and has with that read the bans. */
    private void join() {
      Member m = self;
      int mine = life;
      change(
          number,
          l -> l.join(m, true),
          (version, l) -> {
            if (life == mine && l != null && !serves) {
              if (!maker.forgetsBans()) {
                learn(version, l);
              }
              serves = true;
              beat();
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

    void later(long span, Runnable what) {
      int mine = life;
      net.at(
          number,
          net.now() + span,
          () -> {
            if (life == mine) {
              what.run();
            }
          });
    }

    void learn(long version, Ledger l) {
      if (crew.update(version, l)) {
        applied = crew.banned();
        if (serves
            && crew.isRemoved()) { // by an operator who took it for lost, or by an old word of its
          // former self
          Member m = self;
          change(number, x -> x.join(m, true), (v, x) -> {});
        }
      }
    }

    /** A call to some machine that is listed and not banned, now and then. */
    private void send() {
      later(
          (long) (random.nextDouble() * 60 * MS / load),
          () -> {
            Place p = places.get(random.nextInt(places.size()));
            if (p.listed && !applied.containsKey(p.name)) {
              out.merge(p.name, 1, Integer::sum);
              Map<String, Integer> mine = out;
              String function = "f" + random.nextInt(functions);
              net.at(net.now() + net.delay(), () -> arrive(p, function, self));
              long takes = random.nextInt(200) == 0 ? 4 * SECOND : random.nextLong(300 * MS);
              net.at(
                  number, net.now() + 10 * MS + takes, () -> mine.merge(p.name, -1, Integer::sum));
            }
            send();
          });
    }

    private void report() {
      FrontEndReport r = ownReport();
      for (Front f : fronts) {
        if (f.fence >= 0 || f == this) {
          net.send(number, f.number, () -> f.reports.put(r.member().name(), r));
        }
      }
      later(REPORT, this::report);
    }

    private FrontEndReport ownReport() {
      Map<String, Set<String>> copies = new TreeMap<>();
      for (Place p : places) {
        for (String f : p.copies) {
          copies.computeIfAbsent(f, k -> new HashSet<>()).add(p.name);
        }
      }
      return crew.report(
          applied, name -> out.getOrDefault(name, 0), Map.copyOf(out), copies, 10 * load, 0);
    }

    /**
     * The holder drives, and tells the others what it knows; whoever holds nothing reads now and
     * then.
     */
    private void beat() {
      if (fence < 0 && random.nextInt(5) == 0) {
        change(
            number,
            l -> l,
            (version, l) -> {
              if (l != null) {
                learn(version, l);
              }
            });
      }
      if (fence >= 0 && !steps) {
        Ledger known = crew.ledger();
        long version = crew.version();
        for (Front f : fronts) {
          if (f != this && version >= 0) {
            int at = f.life;
            net.send(
                number,
                f.number,
                () -> {
                  if (f.serves && f.life == at) {
                    f.learn(version, known);
                  }
                });
          }
        }
        PlanExecutor.PlannedStep wanted =
            version < 0
                ? null
                : driver.nextStep(net.now(), known, world(), List.copyOf(reports.values()));
        for (PlanExecutor.CopyMove m :
            version < 0
                ? List.<PlanExecutor.CopyMove>of()
                : driver.copyMoves(known, world(), List.copyOf(reports.values()))) {
          moved += place(m.to()).copies.add(m.function()) ? 1 : 0;
        }
        if (wanted != null) {
          steps = true;
          int mine = life;
          change(
              number,
              wanted.step(),
              (v, l) -> {
                if (life == mine) {
                  steps = false;
                  if (l != null) {
                    learn(v, l);
                  } else {
                    change(
                        number,
                        x -> x,
                        (again, x) -> {
                          if (x != null && life == mine) {
                            learn(again, x);
                          }
                        });
                  }
                }
              });
          later(2 * SECOND, () -> steps = false); // its answer was lost
        }
      }
      later(BEAT, this::beat);
    }
  }

  private final VirtualNetwork net;
  private final SplittableRandom random;
  private final Factory maker;
  private final List<Front> fronts = new ArrayList<>();
  private final List<Place> places = new ArrayList<>();
  private final int register;

  /** Twice the machines, so that many a copy is the last one; few where there are few machines. */
  private final int functions;

  private Ledger ledger = Ledger.EMPTY;
  private long version;
  private boolean reachable = true;
  private double load = 1;
  private long lastFence;
  private int sends;
  private int freed;
  private int moved;
  private int cutOff;

  public WorksSimulation(int frontCount, int halls, int eachHall, long seed, Factory maker) {
    this.random = new SplittableRandom(seed);
    this.maker = maker;
    this.register = frontCount;
    this.functions =
        Math.max(FEW_FUNCTIONS, halls * eachHall > FEW_FUNCTIONS ? 2 * halls * eachHall : 0);
    this.net = new VirtualNetwork(frontCount + 1, random.split());
    net.setLinks(0, 0.02, 200, 5_000);
    for (int h = 0; h < halls; h++) {
      for (int i = 0; i < eachHall; i++) {
        Place p = new Place("w" + h + i, "hall" + h);
        for (int f = 0; f < COPIES_EACH; f++) {
          p.copies.add("f" + random.nextInt(functions));
        }
        places.add(p);
      }
    }
    for (int i = 0; i < frontCount; i++) {
      fronts.add(new Front(i));
    }
    fronts.forEach(Front::start);
    lease();
  }

  public VirtualNetwork net() {
    return net;
  }

  public Ledger ledger() {
    return ledger;
  }

  public int freed() {
    return freed;
  }

  /**
   * Copies that were ordered elsewhere, and calls that were under way at machines as they went out.
   */
  public int moved() {
    return moved;
  }

  public int cutOff() {
    return cutOff;
  }

  public int sends() {
    return sends;
  }

  private Place place(String name) {
    return places.stream().filter(p -> p.name.equals(name)).findFirst().orElseThrow();
  }

  private MachineView world() {
    Map<String, MachineView.ObservedMachine> seen = new TreeMap<>();
    for (Place p : places) {
      seen.put(
          p.name,
          new MachineView.ObservedMachine(
              p.hall, "std", p.listed, p.gone, p.since / MS, net.now() < p.coldUntil, p.failing));
    }
    return new MachineView(seen);
  }

  // ---------------------------------------------------------------- the register and the lease

  /**
   * Has the register changed; where a step is refused, it is told as it is (null: nothing is
   * known).
   */
  private void change(int from, UnaryOperator<Ledger> step, BiConsumer<Long, Ledger> then) {
    boolean[] made = new boolean[1];
    net.send(
        from,
        register,
        () -> {
          if (!reachable || made[0]) { // what comes twice is made once
            return;
          }
          made[0] = true;
          try {
            Ledger next = step.apply(ledger);
            if (next.steps() != ledger.steps()) {
              check(ledger, next);
              ledger = next;
              version++;
              act();
            }
          } catch (Refused e) {
            // it is told what holds
          }
          long v = version;
          Ledger l = ledger;
          net.send(register, from, () -> then.accept(v, l));
        });
  }

  /**
   * Every 3 s somebody who can reach the register has the duty; one that is stopped or cut off goes
   * on in its belief.
   */
  private void lease() {
    net.at(
        net.now() + 3 * SECOND,
        () -> {
          Front holder =
              fronts.stream()
                  .filter(f -> f.fence == lastFence && lastFence > 0)
                  .findFirst()
                  .orElse(null);
          boolean well =
              holder != null
                  && !net.isPaused(holder.number)
                  && net.isOpen(holder.number, register)
                  && random.nextInt(6) > 0;
          if (!well && reachable) {
            List<Front> fit =
                fronts.stream()
                    .filter(
                        f -> f.serves && !net.isPaused(f.number) && net.isOpen(f.number, register))
                    .toList();
            if (!fit.isEmpty()) {
              Front next = fit.get(random.nextInt(fit.size()));
              if (holder != null
                  && holder != next
                  && !net.isPaused(holder.number)
                  && random.nextInt(3) > 0) {
                holder.fence = -1; // mostly it knows
              }
              next.fence = ++lastFence;
              next.driver = maker.driver(lastFence);
              next.reports.clear();
            }
          }
          lease();
        });
  }

  // ---------------------------------------------------------------- checks

  private void arrive(Place p, String function, Member from) {
    sends++;
    Machine m = ledger.machine(p.name);
    if (m != null && m.stage() == Stage.FREE && m.forced().isEmpty() && !byHand.contains(p.name)) {
      throw new InvariantViolation(
          from + " sent to " + p.name + ", which is free for work, at " + net.now());
    }
    p.copies.add(function);
    if (p.copies.size() > COPIES_EACH) {
      p.copies.remove(
          p.copies.stream()
              .sorted()
              .skip(random.nextInt(p.copies.size()))
              .findFirst()
              .orElseThrow());
    }
  }

  /** What a step of a plan may not do. */
  private void check(Ledger before, Ledger after) {
    for (Machine m : after.machines()) {
      Machine was =
          before.machines().stream()
              .filter(o -> o.name().equals(m.name()) && o.plan().equals(m.plan()))
              .findFirst()
              .orElse(null);
      if (was == null || was.stage() == m.stage()) {
        continue;
      }
      if (was.stage().isOver() || m.stage().ordinal() < was.stage().ordinal()) {
        throw new InvariantViolation(
            m.name() + " went from " + was.stage() + " to " + m.stage() + " at " + net.now());
      }
      if (m.stage() == Stage.MOVING) {
        begins(after, m);
      } else if (m.stage() == Stage.GOING) {
        cutOff += fronts.stream().mapToInt(f -> f.out.getOrDefault(m.name(), 0)).sum();
      }
    }
  }

  private void begins(Ledger after, Machine m) {
    long missing = after.machines().stream().filter(o -> o.stage().isMissing()).count();
    Plan p = after.plan(m.plan()).orElseThrow();
    if (missing > p.atOnce()) {
      throw new InvariantViolation(
          missing + " are missing, " + p.atOnce() + " may be, at " + net.now());
    }
    if (p.oneHall()
        && after.machines().stream()
            .anyMatch(o -> o.stage().isMissing() && !o.hall().equals(m.hall()))) {
      throw new InvariantViolation("two halls at " + net.now());
    }
    MachineView w = world();
    if (w.get(m.name()).listed()) {
      long ready =
          places.stream()
              .filter(q -> q.listed && !q.failing && net.now() >= q.coldUntil)
              .filter(
                  q -> {
                    Machine o = after.machine(q.name);
                    return o == null || !o.stage().isMissing();
                  })
              .count();
      if (ready < p.floor() - slack) {
        throw new InvariantViolation(
            ready + " are ready, " + p.floor() + " must stay, at " + net.now());
      }
    }
  }

  /** Machines that fell since the holder looked, whom no plan can have known of. */
  private int slack;

  /** What the people do: a machine that is free is worked on, and started anew. */
  private void act() {
    for (Machine m : ledger.machines()) {
      if (m.stage() == Stage.FREE && !worked.contains(m.name() + m.ban())) {
        worked.add(m.name() + m.ban());
        freed++;
        net.at(
            net.now() + WORK,
            () -> {
              Machine still = ledger.machine(m.name());
              if (still == null || still.ban() != m.ban() || still.stage() != Stage.FREE) {
                return; // somebody said that it was done
              }
              Place p = place(m.name());
              p.since = net.now();
              p.coldUntil = net.now() + COLD;
              p.copies.clear();
            });
      }
    }
  }

  private final Set<String> worked = new HashSet<>();

  // ---------------------------------------------------------------- what happens

  /** An operator at a front end has a plan made; told again where the answer is lost. */
  public void plan(int at, String id, Plan plan, List<String> machines) {
    List<Machine> wanted =
        machines.stream()
            .map(n -> new Machine(n, place(n).hall, id, Stage.WAITING, 0, 0, false, List.of(), ""))
            .toList();
    order(at, l -> l.plan(id).isPresent() ? l : l.add(plan, wanted));
  }

  /** An operator's step at some front end. */
  public void order(int at, UnaryOperator<Ledger> step) {
    change(at, step, (v, l) -> {});
  }

  public List<String> names() {
    return places.stream().map(p -> p.name).toList();
  }

  public void restart(int front) {
    if (fronts.get(front).fence == lastFence) {
      fronts.get(front).fence = -1;
    }
    fronts.get(front).start();
  }

  public void reachable(boolean is) {
    reachable = is;
  }

  public void load(double factor) {
    load = factor;
  }

  /** A machine fails, or is well again. */
  public void failing(String name, boolean is) {
    place(name).failing = is;
    slack = is ? slack + 1 : slack;
  }

  /** A machine is drained by the list, or dies and its name never comes back. */
  public void unlisted(String name, boolean forEver) {
    place(name).listed = false;
    place(name).gone |= forEver;
    slack++;
  }

  public void listed(String name) {
    Place p = place(name);
    if (!p.gone) {
      p.listed = true;
    }
  }

  /** Resumed by hand at a front end's door. */
  public void resumeByHand(int front, String name) {
    Front f = fronts.get(front);
    if (f.serves && f.crew.resumeByHand(name)) {
      f.applied = f.crew.banned();
      // From now on it may send there: the plan learns of it, and the machine's people were asked
      // by whoever resumed it.
      byHand.add(name);
    }
  }

  private final Set<String> byHand = new HashSet<>();

  public int frontCount() {
    return fronts.size();
  }

  /** For whom each machine that is on its way waits, as the holder has it. */
  public String waits() {
    StringBuilder text = new StringBuilder();
    for (Front f : fronts) {
      if (f.fence == lastFence && f.driver != null) {
        for (Machine m : ledger.machines()) {
          if (m.stage() == Stage.GOING || m.stage() == Stage.QUIET) {
            text.append(m.name())
                .append(' ')
                .append(
                    f.driver.blockingFrontEnds(
                        ledger, m, List.copyOf(f.reports.values()), m.stage() == Stage.QUIET));
          }
        }
      }
    }
    return text
        + " roll "
        + ledger.roll()
        + " plans "
        + ledger.plans()
        + " machines "
        + ledger.machines().stream().filter(m -> !m.stage().isOver()).toList();
  }

  /** Why each machine that waits does, as anybody with the ledger and the list says it. */
  public List<MachineOrder.Place> why() {
    return MachineOrder.of(ledger, world(), List.of());
  }

  public void run(long span) {
    net.run(net.now() + span);
  }
}
