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
 * Simulation of one duty on the virtual network: voters with disks, and electors whose clocks run
 * at different rates. Checked after each step: at most one elector may act at any time of the
 * network's clock, and the receiver of the acts accepts none of a lower fence after one of a higher
 * fence.
 */
public final class LeaseSimulation {
  /** Creates electors; tests pass factories of deliberately faulty ones. */
  public interface Factory {
    LeaseElector make(
        LeaseElector.Settings settings,
        String name,
        long startId,
        RandomGenerator random,
        LeaseElector.Outbox out);
  }

  /** A deliberate fault, which the checks must detect. */
  public enum Fault {
    NONE,

    /** Voters answer before their promise is on disk. */
    SKIPS_SYNC,

    /** A voter votes on after it has lost its folder. */
    VOTES_WITHOUT_FOLDER,

    /** The receiver of the acts ignores their fences. */
    ACCEPTS_OLD_FENCES
  }

  /** Thrown when a check fails. */
  public static final class InvariantViolation extends RuntimeException {
    private static final long serialVersionUID = 1;

    InvariantViolation(String message) {
      super(message);
    }
  }

  public static final LeaseElector.Settings DEFAULT_SETTINGS =
      new LeaseElector.Settings(3_000_000, 0.05, 0, 1_500_000);
  private static final String REGISTER = "duty";
  private static final long ATTEMPT_TIMEOUT_MICROS = 600_000;
  private static final long MAX_SYNC_MICROS = 100_000;
  private static final int MAX_REGISTERS = 16;
  private static final int MAX_OLD_MESSAGES = 64;
  private static final long ACT_INTERVAL_MICROS = 50_000;

  /** One message in so many is kept, to be delivered again much later. */
  private static final int REPLAY_ONE_IN = 50;

  /** Destination of acts: their receiver, which is not a node of the network. */
  private static final int ACT_RECEIVER = -1;

  /** A voter with its disk. */
  private final class VoterNode {
    final int number;
    final Map<String, Voter.Slot> disk = new TreeMap<>();

    /** Answers that wait for the next sync. */
    final List<Runnable> pendingAnswers = new ArrayList<>();

    /** Slots that the next sync writes to the disk. */
    final Map<String, Voter.Slot> unsynced = new TreeMap<>();

    /** Null while the voter is down, or does not vote as its folder is lost. */
    Voter voter = new Voter(Map.of(), MAX_REGISTERS);

    int life;
    boolean syncScheduled;

    VoterNode(int number) {
      this.number = number;
    }

    void receive(int from, ConsensusMessage message) {
      Voter.VoteResult result = voter == null ? null : voter.handle(message);
      if (result == null) {
        return;
      }
      if (result.slot() != null) {
        unsynced.put(result.register(), result.slot());
      }
      Runnable answer =
          () ->
              LeaseSimulation.this.send(
                  number,
                  from,
                  () -> electors[from - voters.length].receive(number, result.answer()));
      if (fault == Fault.SKIPS_SYNC) {
        answer.run();
      } else {
        pendingAnswers.add(answer);
      }
      if (!syncScheduled) {
        int scheduledLife = life;
        syncScheduled = true;
        net.at(
            number,
            net.now() + (long) (MAX_SYNC_MICROS * random.nextDouble()),
            () -> {
              if (life == scheduledLife) {
                syncScheduled = false;
                disk.putAll(unsynced);
                unsynced.clear();
                List<Runnable> answers = List.copyOf(pendingAnswers);
                pendingAnswers.clear();
                answers.forEach(Runnable::run);
              }
            });
      }
    }

    void crash() {
      life++;
      syncScheduled = false;
      voter = null;
      unsynced.clear();
      pendingAnswers.clear();
      net.discardPending(number);
    }

    void restart(boolean folderLost) {
      if (folderLost) {
        disk.clear();
      }
      voter =
          folderLost && fault != Fault.VOTES_WITHOUT_FOLDER ? null : new Voter(disk, MAX_REGISTERS);
    }
  }

  /** An elector with its clock and its proposer. */
  private final class ElectorNode implements LeaseElector.Outbox, Proposer.Outbox {
    final int number;
    final double clockRate;

    /** Null while the process is down. */
    LeaseElector elector;

    Proposer proposer;
    VirtualNetwork.ScheduledTask timer;
    VirtualNetwork.ScheduledTask retryTimer;
    int life;

    ElectorNode(int number, double clockRate) {
      this.number = number;
      this.clockRate = clockRate;
    }

    long clock() {
      return (long) (net.now() * clockRate) + number * 1_000_000_007L;
    }

    /** Runs a task at a time of the own clock, unless the process has ended by then. */
    private VirtualNetwork.ScheduledTask schedule(long at, Runnable task) {
      int scheduledLife = life;
      return net.at(
          number,
          net.now() + (long) Math.ceil(Math.max(0, at - clock()) / clockRate),
          () -> {
            if (life == scheduledLife && elector != null) {
              task.run();
            }
          });
    }

    void start() {
      life++;
      net.discardPending(number);
      long id = random.nextLong() >>> 1;
      elector = factory.make(settings, "c" + number, id, random.split(), this);
      proposer =
          new Proposer(
              "c" + number + "/" + id, names, ATTEMPT_TIMEOUT_MICROS, random.split(), this);
      schedule(clock(), () -> elector.start(clock()));
      actPeriodically();
    }

    /**
     * Periodically sends an act if the elector may act. The process may be paused for any time
     * between that check and the act, in which case only the fence can stop it.
     */
    private void actPeriodically() {
      schedule(
          clock() + ACT_INTERVAL_MICROS,
          () -> {
            long fence = elector.activeFence(clock());
            if (fence >= 0) {
              LeaseSimulation.this.send(number, ACT_RECEIVER, () -> accept(fence));
            }
            actPeriodically();
          });
    }

    void receive(int voter, ConsensusMessage message) {
      if (elector != null) {
        proposer.receive(clock(), names.get(voter), message);
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
    public void send(String voter, ConsensusMessage message) {
      int to = names.indexOf(voter);
      LeaseSimulation.this.send(number, to, () -> voters[to].receive(number, message));
    }

    @Override
    public void startRetryTimer(long at) {
      cancel(retryTimer);
      retryTimer =
          schedule(
              at,
              () -> {
                proposer.onTimer(clock());
                check();
              });
    }

    @Override
    public void startTimer(long at) {
      cancel(timer);
      timer =
          schedule(
              at,
              () -> {
                elector.onTimer(clock());
                check();
              });
    }

    private static void cancel(VirtualNetwork.ScheduledTask task) {
      if (task != null) {
        task.cancel();
      }
    }

    @Override
    public void completed(RegisterValue value) {
      elector.onRegisterResult(clock(), value);
    }

    @Override
    public void onFenceChange(long fence, String cause) {
      // The checks call activeFence instead.
    }

    void crash() {
      life++;
      elector = null;
      net.discardPending(number);
    }
  }

  private final VirtualNetwork net;
  private final SplittableRandom random;
  private final LeaseElector.Settings settings;
  private final Factory factory;
  private final Fault fault;
  private final List<String> names;
  private final VoterNode[] voters;
  private final ElectorNode[] electors;
  private final List<Runnable> oldMessages = new ArrayList<>();
  private long highestFence = -1;
  private long lastAcceptedFence = -1;

  /**
   * Starts all voters and electors.
   *
   * @param seed of all random choices; the same seed and calls repeat a run
   */
  public LeaseSimulation(
      int voterCount,
      int electorCount,
      LeaseElector.Settings settings,
      long seed,
      Factory factory,
      Fault fault) {
    this.random = new SplittableRandom(seed);
    this.net = new VirtualNetwork(voterCount + electorCount, random.split());
    this.settings = settings;
    this.factory = factory;
    this.fault = fault;
    this.names = IntStream.range(0, voterCount).mapToObj(i -> "v" + i).toList();
    this.voters = new VoterNode[voterCount];
    this.electors = new ElectorNode[electorCount];
    net.setLinks(0, 0.02, 200, 5_000);
    for (int i = 0; i < voterCount; i++) {
      voters[i] = new VoterNode(i);
    }
    // The first clock is as slow, and the second one as fast, as the drift bound allows.
    for (int i = 0; i < electorCount; i++) {
      electors[i] =
          new ElectorNode(
              voterCount + i,
              i == 0 ? 1 - settings.clockDrift() : i == 1 ? 1 + settings.clockDrift() : 1);
    }
    for (ElectorNode node : electors) {
      node.start();
    }
  }

  public VirtualNetwork net() {
    return net;
  }

  private void send(int from, int to, Runnable arrives) {
    // Acts always reach their receiver, but late.
    if (to == ACT_RECEIVER) {
      net.at(net.now() + net.delay(), arrives);
      return;
    }
    net.send(from, to, arrives);
    if (random.nextInt(REPLAY_ONE_IN) == 0 && oldMessages.size() < MAX_OLD_MESSAGES) {
      oldMessages.add(() -> net.send(from, to, arrives));
    }
  }

  /** Sends again some of the messages that were sent since the last replay. */
  public void replay() {
    oldMessages.forEach(Runnable::run);
    oldMessages.clear();
  }

  /** Crashes a voter; it loses everything that it has not synced. */
  public void crashVoter(int voter) {
    voters[voter].crash();
  }

  /** Restarts a voter if it is down, from its disk unless its folder is lost. */
  public void restartVoter(int voter, boolean folderLost) {
    if (voters[voter].voter == null) {
      voters[voter].restart(folderLost);
    }
  }

  /** Crashes the process of an elector. */
  public void crashElector(int elector) {
    electors[elector].crash();
  }

  /** Starts the process of an elector if it is down. */
  public void startElector(int elector) {
    if (electors[elector].elector == null) {
      electors[elector].start();
    }
  }

  /**
   * Sets the priority of an elector as its view of the fleet suggests, be that right or wrong.
   *
   * @param watching see {@link LeaseElector#setPriority}
   * @param takeoverDelay see {@link LeaseElector#setPriority}
   * @param hint whether it is also told to read the register now
   */
  public void setPriority(int elector, boolean watching, long takeoverDelay, boolean hint) {
    ElectorNode node = electors[elector];
    if (node.elector != null && !net.isPaused(node.number)) {
      node.elector.setPriority(node.clock(), watching, takeoverDelay);
      if (hint) {
        node.elector.refresh(node.clock());
      }
    }
  }

  public int voterCount() {
    return voters.length;
  }

  public int electorCount() {
    return electors.length;
  }

  /** Network node of an elector, for faults of the network. The voters are nodes 0 and up. */
  public int node(int elector) {
    return electors[elector].number;
  }

  /** The elector that may act now, or -1. */
  public int holder() {
    for (int i = 0; i < electors.length; i++) {
      if (electors[i].elector != null
          && electors[i].elector.activeFence(electors[i].clock()) >= 0) {
        return i;
      }
    }
    return -1;
  }

  /** Receives an act, which it refuses if it has accepted one of a higher fence. */
  private void accept(long fence) {
    if (fence < highestFence && fault != Fault.ACCEPTS_OLD_FENCES) {
      return;
    }
    if (fence < lastAcceptedFence) {
      throw new InvariantViolation(
          "an act of fence "
              + fence
              + " was accepted after one of "
              + lastAcceptedFence
              + " at "
              + net.now());
    }
    highestFence = Math.max(highestFence, fence);
    lastAcceptedFence = fence;
  }

  private void check() {
    int holders = 0;
    for (ElectorNode node : electors) {
      holders += node.elector != null && node.elector.activeFence(node.clock()) >= 0 ? 1 : 0;
    }
    if (holders > 1) {
      throw new InvariantViolation(holders + " electors may act at " + net.now());
    }
  }

  /** Runs for some microseconds and checks after each step that at most one elector may act. */
  public void run(long durationMicros) {
    long end = net.now() + durationMicros;
    while (net.step(end)) {
      check();
    }
  }
}
