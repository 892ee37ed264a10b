package umberrun.lease.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import umberrun.consensus.ConsensusMessage;
import umberrun.consensus.Proposer;
import umberrun.consensus.RegisterValue;
import umberrun.consensus.Voter;
import umberrun.lease.LeaseElector;
import umberrun.sim.VirtualNetwork;

/**
 * Voters with disks and claimants of one duty with clocks of their own on the virtual network.
 * After each step: one at most may act at any true time, and who receives the acts takes none of a
 * lower fence after one of a greater.
 */
public final class LeaseSimulation {
  /** Makes a claimant; tests put in ones that are broken on purpose. */
  public interface Factory {
    LeaseElector make(
        LeaseElector.Settings settings,
        String name,
        long startId,
        RandomGenerator random,
        LeaseElector.Outbox out);
  }

  /** What is done wrong on purpose, to see that it is caught. */
  public enum Fault {
    NONE,
    SKIPS_SYNC,
    VOTES_WITHOUT_FOLDER,
    TAKES_OLD_FENCES
  }

  /** A check that does not hold. */
  public static final class InvariantViolation extends RuntimeException {
    private static final long serialVersionUID = 1;

    InvariantViolation(String message) {
      super(message);
    }
  }

  public static final LeaseElector.Settings DEFAULT_SETTINGS =
      new LeaseElector.Settings(3_000_000, 0.05, 0, 1_500_000);
  private static final String REGISTER = "duty";
  private static final long TRY_MICROS = 600_000;
  private static final long SYNC_MICROS = 100_000;
  private static final int MOST_REGISTERS = 16;
  private static final int MOST_OLD = 64;
  private static final long ACT_MICROS = 50_000;

  /** A voter and its disk. */
  private final class Ballots {
    final int number;
    final Map<String, Voter.Slot> disk = new TreeMap<>();
    final List<Runnable> unsynced = new ArrayList<>();
    final Map<String, Voter.Slot> written = new TreeMap<>();
    Voter voter = new Voter(Map.of(), MOST_REGISTERS);
    int life;
    boolean syncs;

    Ballots(int number) {
      this.number = number;
    }

    void receive(int from, ConsensusMessage m) {
      Voter.VoteResult step = voter == null ? null : voter.handle(m);
      if (step == null) {
        return;
      }
      if (step.slot() != null) {
        written.put(step.register(), step.slot());
      }
      Runnable answer =
          () ->
              LeaseSimulation.this.send(
                  number, from, () -> claims[from - voters.length].hear(number, step.answer()));
      if (fault == Fault.SKIPS_SYNC) {
        answer.run();
      } else {
        unsynced.add(answer);
      }
      if (!syncs) {
        int mine = life;
        syncs = true;
        net.at(
            number,
            net.now() + (long) (SYNC_MICROS * random.nextDouble()),
            () -> {
              if (life == mine) {
                syncs = false;
                disk.putAll(written);
                written.clear();
                List<Runnable> go = List.copyOf(unsynced);
                unsynced.clear();
                go.forEach(Runnable::run);
              }
            });
      }
    }

    void crash() {
      life++;
      syncs = false;
      voter = null;
      written.clear();
      unsynced.clear();
      net.discardPending(number);
    }

    void restart(boolean folderLost) {
      if (folderLost) {
        disk.clear();
      }
      voter =
          folderLost && fault != Fault.VOTES_WITHOUT_FOLDER
              ? null
              : new Voter(disk, MOST_REGISTERS);
    }
  }

  /** A claimant, its clock and its proposer. */
  private final class Claims implements LeaseElector.Outbox, Proposer.Outbox {
    final int number;
    final double rate;
    LeaseElector claimant;
    Proposer proposer;
    VirtualNetwork.ScheduledTask wake;
    VirtualNetwork.ScheduledTask wakeProposer;
    int life;

    Claims(int number, double rate) {
      this.number = number;
      this.rate = rate;
    }

    long clock() {
      return (long) (net.now() * rate) + number * 1_000_000_007L;
    }

    private VirtualNetwork.ScheduledTask after(long at, Runnable what) {
      int mine = life;
      return net.at(
          number,
          net.now() + (long) Math.ceil(Math.max(0, at - clock()) / rate),
          () -> {
            if (life == mine && claimant != null) {
              what.run();
            }
          });
    }

    void start() {
      life++;
      net.discardPending(number);
      long id = random.nextLong() >>> 1;
      claimant = maker.make(settings, "c" + number, id, random.split(), this);
      proposer = new Proposer("c" + number + "/" + id, names, TRY_MICROS, random.split(), this);
      after(clock(), () -> claimant.start(clock()));
      act();
    }

    /**
     * Acts whenever it may, with a pause of any length between the look and the act: the fence is
     * what is left then.
     */
    private void act() {
      after(
          clock() + ACT_MICROS,
          () -> {
            long fence = claimant.activeFence(clock());
            if (fence >= 0) {
              LeaseSimulation.this.send(number, -1, () -> accept(fence));
            }
            act();
          });
    }

    void hear(int voter, ConsensusMessage m) {
      if (claimant != null) {
        proposer.receive(clock(), names.get(voter), m);
        check();
      }
    }

    @Override
    public void read(long until) {
      proposer.read(clock(), REGISTER, until);
    }

    @Override
    public void propose(Proposer.Change change, long until) {
      proposer.submit(clock(), REGISTER, change, until);
    }

    @Override
    public void send(String voter, ConsensusMessage m) {
      int to = names.indexOf(voter);
      LeaseSimulation.this.send(number, to, () -> voters[to].receive(number, m));
    }

    @Override
    public void retry(long at) {
      cancel(wakeProposer);
      wakeProposer =
          after(
              at,
              () -> {
                proposer.onTimer(clock());
                check();
              });
    }

    @Override
    public void startTimer(long at) {
      cancel(wake);
      wake =
          after(
              at,
              () -> {
                claimant.onTimer(clock());
                check();
              });
    }

    private static void cancel(VirtualNetwork.ScheduledTask s) {
      if (s != null) {
        s.cancel();
      }
    }

    @Override
    public void done(RegisterValue v) {
      claimant.onRegisterResult(clock(), v);
    }

    @Override
    public void onFenceChange(long fence, String cause) {
      // seen by who may act
    }

    void crash() {
      life++;
      claimant = null;
      net.discardPending(number);
    }
  }

  private final VirtualNetwork net;
  private final SplittableRandom random;
  private final LeaseElector.Settings settings;
  private final Factory maker;
  private final Fault fault;
  private final List<String> names;
  private final Ballots[] voters;
  private final Claims[] claims;
  private final List<Runnable> old = new ArrayList<>();
  private long highest = -1;
  private long lastAccepted = -1;

  public LeaseSimulation(
      int voterCount,
      int claimants,
      LeaseElector.Settings settings,
      long seed,
      Factory maker,
      Fault fault) {
    this.random = new SplittableRandom(seed);
    this.net = new VirtualNetwork(voterCount + claimants, random.split());
    this.settings = settings;
    this.maker = maker;
    this.fault = fault;
    this.names = IntStream.range(0, voterCount).mapToObj(i -> "v" + i).toList();
    this.voters = new Ballots[voterCount];
    this.claims = new Claims[claimants];
    net.setLinks(0, 0.02, 200, 5_000);
    for (int i = 0; i < voterCount; i++) {
      voters[i] = new Ballots(i);
    }
    for (int i = 0;
        i < claimants;
        i++) { // the first clock as slow and the second as fast as may be
      claims[i] =
          new Claims(
              voterCount + i,
              i == 0 ? 1 - settings.clockDrift() : i == 1 ? 1 + settings.clockDrift() : 1);
    }
    for (Claims c : claims) {
      c.start();
    }
  }

  public VirtualNetwork net() {
    return net;
  }

  private void send(int from, int to, Runnable arrives) {
    if (to < 0) { // to whom the duty is about, who is always reached, but late
      net.at(net.now() + net.delay(), arrives);
      return;
    }
    net.send(from, to, arrives);
    if (random.nextInt(50) == 0 && old.size() < MOST_OLD) { // some come again much later
      old.add(() -> net.send(from, to, arrives));
    }
  }

  /** What was said long ago is said again. */
  public void replay() {
    old.forEach(Runnable::run);
    old.clear();
  }

  public void crashVoter(int i) {
    voters[i].crash();
  }

  public void restartVoter(int i, boolean folderLost) {
    if (voters[i].voter == null) {
      voters[i].restart(folderLost);
    }
  }

  public void crash(int claimant) {
    claims[claimant].crash();
  }

  public void start(int claimant) {
    if (claims[claimant].claimant == null) {
      claims[claimant].start();
    }
  }

  /**
   * How a claimant stands for the duty by its view of the others, right or wrong, and whether it is
   * told to look.
   */
  public void setPriority(int claimant, boolean close, long delay, boolean hint) {
    Claims c = claims[claimant];
    if (c.claimant != null && !net.isPaused(c.number)) {
      c.claimant.setPriority(c.clock(), close, delay);
      if (hint) {
        c.claimant.refresh(c.clock());
      }
    }
  }

  public int voterCount() {
    return voters.length;
  }

  public int claimantCount() {
    return claims.length;
  }

  /** The machine of a claimant, for faults of the network. */
  public int machine(int claimant) {
    return claims[claimant].number;
  }

  /** Who may act now, or -1. */
  public int holder() {
    for (int i = 0; i < claims.length; i++) {
      if (claims[i].claimant != null && claims[i].claimant.activeFence(claims[i].clock()) >= 0) {
        return i;
      }
    }
    return -1;
  }

  private void accept(long fence) {
    if (fence < highest && fault != Fault.TAKES_OLD_FENCES) {
      return;
    }
    if (fence < lastAccepted) {
      throw new InvariantViolation(
          "an act of fence "
              + fence
              + " was taken after one of "
              + lastAccepted
              + " at "
              + net.now());
    }
    highest = Math.max(highest, fence);
    lastAccepted = fence;
  }

  private void check() {
    int holders = 0;
    for (Claims c : claims) {
      holders += c.claimant != null && c.claimant.activeFence(c.clock()) >= 0 ? 1 : 0;
    }
    if (holders > 1) {
      throw new InvariantViolation(holders + " may act at " + net.now());
    }
  }

  /** Runs with a look at who may act after each step. */
  public void run(long span) {
    long end = net.now() + span;
    while (net.step(end)) {
      check();
    }
  }
}
