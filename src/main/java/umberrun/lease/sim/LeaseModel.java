package umberrun.lease.sim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import umberrun.consensus.ConsensusMessage;
import umberrun.consensus.Proposer;
import umberrun.consensus.RegisterValue;
import umberrun.consensus.Voter;
import umberrun.consensus.sim.RegisterModel;
import umberrun.lease.FenceRegistry;
import umberrun.lease.LeaseElector;
import umberrun.sim.ModelChecker;

/**
 * Three voters, two candidates for one duty and who receives its acts, with all orders and losses
 * of messages, answers that come late, crashes of voters and candidates, clocks that run fast or
 * slow from one moment to the next, and pauses: a wait may end at any time after it is due, and
 * time may pass between any two steps. Not in it: a question that arrives after its try is over,
 * but for those that have a voter accept something (others only keep a later try from its
 * majority).
 */
public final class LeaseModel implements ModelChecker.Model {
  /**
   * How often what may happen, in all.
   *
   * @param steps each candidate's clock may run slow or fast from one tick to the next; else the
   *     first one's is slow and the second one's fast
   * @param ticks a third of a lease each
   * @param late questions that come to a voter by themselves, at any time, with an answer at once
   *     or late, before its sync or after it, or to two voters whose answers are lost; all others
   *     come to two voters and are answered at once, in any order among candidates
   * @param tries further tries of a change
   * @param crashes of voters
   * @param restarts of candidates
   * @param acts that leave some time after the look at the clock
   * @param gives times that a holder gives the duty back, and the other hears of it
   */
  public record Bounds(
      boolean steps,
      int ticks,
      int late,
      int tries,
      int crashes,
      int restarts,
      int acts,
      int gives) {}

  public static final LeaseElector.Settings SETTINGS =
      new LeaseElector.Settings(6_000_000, 0.25, 0, 2_000_000);
  private static final long TICK = 2_000_000;
  private static final long TRY = 1_000_000;

  /** What is due so soon may as well be due now: else each short wait would cost a tick. */
  private static final long SHORT = 1_000;

  private static final double[] RATES = {1 - SETTINGS.clockDrift(), 1 + SETTINGS.clockDrift()};
  private static final int[][] PAIRS = {{0, 1}, {1, 2}, {0, 2}};
  private static final int SLOW_AND_FAST = 2;
  private static final String REGISTER = "duty";
  private static final List<String> VOTERS = List.of("v0", "v1", "v2");

  /**
   * Waits are as short as they may be drawn: all that is longer is among the courses, as a wait may
   * end late.
   */
  private static final RandomGenerator SHORTEST = () -> 0L;

  /** A question, or an answer that is late, between one life of a candidate and a voter. */
  private record Sent(int candidate, int life, int voter, ConsensusMessage message) {}

  private final class Candidate implements LeaseElector.Outbox, Proposer.Outbox {
    final int number;
    int life;
    long clock;
    long wakeAt;
    long retryAt;
    long until;
    LeaseElector claimant;
    Proposer proposer;

    Candidate(int number, int life) {
      this.number = number;
      this.life = life;
      make();
    }

    /** The same in another world. */
    Candidate(Candidate o) {
      this(o.number, o.life);
      clock = o.clock;
      wakeAt = o.wakeAt;
      retryAt = o.retryAt;
      until = o.until;
      Proposer.Change step = claimant.copyStateFrom(o.claimant);
      proposer.copyStateFrom(
          o.proposer,
          c -> step == null ? c : step); // a read has no step, and a change that is its own copy
    }

    private void make() {
      clock = life * 1_000_000_000L;
      wakeAt = Long.MAX_VALUE;
      retryAt = Long.MAX_VALUE;
      claimant = maker.make(SETTINGS, "c" + number, life, SHORTEST, this);
      proposer = new Proposer("c" + number + "/" + life, VOTERS, TRY, SHORTEST, this);
    }

    /** A process begins. */
    void start() {
      life++;
      make();
      claimant.start(clock);
    }

    @Override
    public void read(long until) {
      this.until = until;
      proposer.read(clock, REGISTER, until);
    }

    @Override
    public void propose(Proposer.Change change, long until) {
      this.until = until;
      proposer.submit(clock, REGISTER, change, until);
    }

    @Override
    public void send(String voter, ConsensusMessage m) {
      questions.add(new Sent(number, life, VOTERS.indexOf(voter), m));
    }

    @Override
    public void retry(long at) {
      retryAt = at;
    }

    @Override
    public void startTimer(long at) {
      wakeAt = at;
    }

    @Override
    public void done(RegisterValue v) {
      retryAt = Long.MAX_VALUE;
      claimant.onRegisterResult(clock, v);
    }

    @Override
    public void onFenceChange(long fence, String cause) {
      if (fence >= 0) {
        String mine = number + "/" + life;
        if (!holders.computeIfAbsent(fence, f -> mine).equals(mine)) {
          wrong = "fence " + fence + " is of " + holders.get(fence) + " and of " + mine;
        }
      }
    }

    String state() {
      return claimant.stateText(clock)
          + proposer.stateText()
          + (wakeAt == Long.MAX_VALUE ? "-" : Math.max(0, wakeAt - clock))
          + " "
          + (retryAt == Long.MAX_VALUE
              ? "-"
              : Math.max(0, retryAt - clock) + "/" + Math.max(0, until - clock))
          + " "
          + life;
    }
  }

  private final LeaseSimulation.Factory maker;
  private final LeaseSimulation.Fault fault;
  private final Voter[] voters = new Voter[VOTERS.size()];

  /** What a crash leaves of each. */
  private final List<Map<String, Voter.Slot>> synced = new ArrayList<>();

  private final List<Sent> questions = new ArrayList<>();
  private final List<Sent> lateAnswers = new ArrayList<>();
  private final List<Long> acts = new ArrayList<>();
  private final Map<Long, String> holders = new HashMap<>();
  private final FenceRegistry fences = new FenceRegistry();
  private final Candidate[] candidates = new Candidate[2];
  private final boolean steps;
  private int ticks;
  private int late;
  private int tries;
  private int crashes;
  private int restarts;
  private int actsLeft;
  private int gives;
  private long lastTaken = -1;
  private String wrong;

  public LeaseModel(Bounds bounds, LeaseSimulation.Factory maker, LeaseSimulation.Fault fault) {
    this.maker = maker;
    this.fault = fault;
    steps = bounds.steps;
    ticks = bounds.ticks;
    late = bounds.late;
    tries = bounds.tries;
    crashes = bounds.crashes;
    restarts = bounds.restarts;
    actsLeft = bounds.acts;
    gives = bounds.gives;
    fences.observe(REGISTER, 0);
    for (int v = 0; v < voters.length; v++) {
      voters[v] = new Voter(Map.of(), 1);
      synced.add(Map.of());
    }
    for (int c = 0; c < candidates.length; c++) {
      candidates[c] = new Candidate(c, 0);
      candidates[c].start();
    }
  }

  private LeaseModel(LeaseModel o) {
    maker = o.maker;
    fault = o.fault;
    steps = o.steps;
    ticks = o.ticks;
    late = o.late;
    tries = o.tries;
    crashes = o.crashes;
    restarts = o.restarts;
    actsLeft = o.actsLeft;
    gives = o.gives;
    lastTaken = o.lastTaken;
    wrong = o.wrong;
    fences.observe(REGISTER, Math.max(0, lastTaken));
    questions.addAll(o.questions);
    lateAnswers.addAll(o.lateAnswers);
    acts.addAll(o.acts);
    holders.putAll(o.holders);
    for (int v = 0; v < voters.length; v++) {
      voters[v] = new Voter(o.voters[v].slots(), 1);
      synced.add(o.synced.get(v));
    }
    for (int c = 0; c < candidates.length; c++) {
      candidates[c] = new Candidate(o.candidates[c]);
    }
  }

  @Override
  public LeaseModel copy() {
    return new LeaseModel(this);
  }

  /** What is on its way, what candidates do, faults, and time. */
  @Override
  public int choiceCount() {
    return 2 * PAIRS.length * candidates.length
        + lateAnswers.size()
        + 5 * candidates.length
        + acts.size()
        + 2 * questions.size()
        + voters.length
        + 4;
  }

  @Override
  public boolean takeStep(int choice) {
    boolean taken = step(choice);
    questions.removeIf(
        s -> (late == 0 || !(s.message instanceof ConsensusMessage.Accept)) && !isAwaited(s));
    lateAnswers.removeIf(s -> !isAwaited(s));
    return taken;
  }

  private boolean isAwaited(Sent s) {
    Candidate c = candidates[s.candidate];
    return c.life == s.life && c.proposer.isBusy() && c.proposer.isForCurrentPhase(s.message);
  }

  private boolean step(int choice) {
    int c = choice;
    if (c < PAIRS.length * candidates.length) {
      return askMajority(candidates[c % candidates.length], PAIRS[c / candidates.length], false);
    }
    c -= PAIRS.length * candidates.length;
    if (c < lateAnswers.size()) {
      answer(lateAnswers.remove(c));
      return true;
    }
    c -= lateAnswers.size();
    if (c < 5 * candidates.length) {
      return own(candidates[c % candidates.length], c / candidates.length);
    }
    c -= 5 * candidates.length;
    if (c < acts.size()) {
      receive(acts.remove(c));
      return true;
    }
    c -= acts.size();
    if (c < 2 * questions.size()) {
      if (late == 0) {
        return false;
      }
      late--;
      ask(questions.remove(c / 2), c % 2 == 1);
      return true;
    }
    c -= 2 * questions.size();
    if (c < PAIRS.length * candidates.length) {
      return late > 0
          && askMajority(candidates[c % candidates.length], PAIRS[c / candidates.length], true);
    }
    c -= PAIRS.length * candidates.length;
    return c < voters.length ? crash(c) : tick(c - voters.length);
  }

  /** Two voters are asked and answer at once; or their answers are lost. */
  private boolean askMajority(Candidate c, int[] pair, boolean lost) {
    List<Sent> asked = new ArrayList<>();
    for (int v : pair) {
      questions.stream()
          .filter(s -> s.candidate == c.number && s.voter == v && isAwaited(s))
          .findFirst()
          .ifPresent(asked::add);
    }
    if (asked.size() < pair.length) {
      return false;
    }
    questions.removeAll(asked);
    asked.forEach(s -> ask(s, lost));
    if (lost) {
      late--;
      lateAnswers.subList(lateAnswers.size() - pair.length, lateAnswers.size()).clear();
      for (int v : pair) {
        synced.set(v, Map.copyOf(voters[v].slots()));
      }
    }
    return true;
  }

  /**
   * @param rates the first candidate's by its last bit, the second one's by the other
   */
  private boolean tick(int rates) {
    if (ticks == 0 || !steps && rates != SLOW_AND_FAST) {
      return false;
    }
    ticks--;
    candidates[0].clock += (long) (TICK * RATES[rates & 1]);
    candidates[1].clock += (long) (TICK * RATES[rates >> 1]);
    return true;
  }

  private void receive(long fence) {
    if (fences.accept(REGISTER, fence) || fault == LeaseSimulation.Fault.TAKES_OLD_FENCES) {
      if (fence < lastTaken) {
        wrong = "an act of fence " + fence + " was taken after one of " + lastTaken;
      }
      lastTaken = fence;
    }
  }

  private boolean own(Candidate c, int what) {
    switch (what) {
      case 0 -> {
        if (c.clock + SHORT < c.wakeAt) {
          return false;
        }
        c.wakeAt = Long.MAX_VALUE;
        c.claimant.onTimer(c.clock);
      }
      case 1 -> {
        boolean again = c.clock < c.until;
        if (c.clock < c.retryAt || again && tries == 0) {
          return false;
        }
        tries -= again ? 1 : 0;
        c.proposer.onTimer(c.clock);
      }
      case 2 -> {
        long fence = c.claimant.activeFence(c.clock);
        if (actsLeft == 0 || fence < 0) {
          return false;
        }
        actsLeft--;
        acts.add(fence);
      }
      case 3 -> {
        if (restarts == 0) {
          return false;
        }
        restarts--;
        c.start();
      }
      default -> {
        if (gives == 0 || c.claimant.activeFence(c.clock) < 0) {
          return false;
        }
        gives--;
        c.claimant.setEligible(c.clock, false);
        candidates[1 - c.number].claimant.refresh(candidates[1 - c.number].clock);
      }
    }
    return true;
  }

  private boolean crash(int v) {
    if (crashes == 0) {
      return false;
    }
    crashes--;
    voters[v] =
        new Voter(
            fault == LeaseSimulation.Fault.VOTES_WITHOUT_FOLDER ? Map.of() : synced.get(v), 1);
    synced.set(v, voters[v].slots().isEmpty() ? Map.of() : synced.get(v));
    lateAnswers.removeIf(s -> s.voter == v); // with what was not synced
    return true;
  }

  /** A question comes to its voter. What is answered late is on no disk until then. */
  private void ask(Sent s, boolean isLate) {
    Map<String, Voter.Slot> before =
        fault == LeaseSimulation.Fault.SKIPS_SYNC ? Map.copyOf(voters[s.voter].slots()) : null;
    Voter.VoteResult step = voters[s.voter].handle(s.message);
    if (step == null) {
      return;
    }
    Sent answer = new Sent(s.candidate, s.life, s.voter, step.answer());
    if (isLate) {
      lateAnswers.add(answer);
    } else if (fault == LeaseSimulation.Fault.SKIPS_SYNC) {
      synced.set(s.voter, before);
      deliver(answer);
    } else {
      answer(answer);
    }
  }

  private void answer(Sent s) {
    synced.set(s.voter, Map.copyOf(voters[s.voter].slots()));
    deliver(s);
  }

  private void deliver(Sent s) {
    Candidate c = candidates[s.candidate];
    if (c.life == s.life) {
      c.proposer.receive(c.clock, VOTERS.get(s.voter), s.message);
    }
  }

  @Override
  public String violation() {
    boolean both =
        candidates[0].claimant.activeFence(candidates[0].clock) >= 0
            && candidates[1].claimant.activeFence(candidates[1].clock) >= 0;
    return both ? "both may act" : wrong;
  }

  @Override
  public String stateText() {
    StringBuilder s =
        new StringBuilder()
            .append(ticks)
            .append(',')
            .append(late)
            .append(tries)
            .append(crashes)
            .append(restarts)
            .append(actsLeft)
            .append(gives)
            .append(acts)
            .append(lastTaken)
            .append(holders);
    for (Candidate c : candidates) {
      s.append(c.state());
    }
    String[] byVoter = new String[voters.length];
    for (int v = 0; v < voters.length; v++) {
      StringBuilder own = new StringBuilder().append(voters[v].slots()).append(synced.get(v));
      for (Candidate c : candidates) {
        own.append(c.proposer.hasVoteOf(VOTERS.get(v)));
      }
      write(own, questions, v);
      write(own, lateAnswers, v);
      byVoter[v] = own.toString();
    }
    Arrays.sort(byVoter); // voters are alike: which of them it is makes no difference
    return s.append(String.join("|", byVoter)).toString();
  }

  private void write(StringBuilder to, List<Sent> all, int voter) {
    to.append('/');
    all.stream()
        .filter(m -> m.voter == voter)
        .map(m -> m.candidate + (isAwaited(m) ? "+" : "-") + RegisterModel.text(m.message))
        .sorted()
        .forEach(to::append);
  }
}
