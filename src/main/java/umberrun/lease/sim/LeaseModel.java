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
 * Model of three voters, two candidates for one duty and the receiver of their acts. It covers all
 * orders and losses of messages, late answers, crashes of voters and candidates, clocks whose rates
 * differ or change, and pauses: a timer may fire at any time after it is due, and time may pass
 * between any two steps. Not covered are requests that arrive after the end of their attempt,
 * except accept requests: the others can only keep a later attempt from its majority.
 */
public final class LeaseModel implements ModelChecker.Model {
  /**
   * Total number of times that each kind of event may occur.
   *
   * @param changingRates whether each candidate's clock may be slow or fast in each tick; otherwise
   *     the first one's is always slow and the second one's always fast
   * @param ticks of the clocks, a third of a lease each
   * @param lateMessages requests that reach a single voter at any time, with an answer at once or
   *     late, before its sync or after it, or that reach two voters whose answers are lost. All
   *     others reach two voters and are answered at once, in any order among the candidates
   * @param retries further attempts of a change
   * @param crashes of voters
   * @param restarts of candidates
   * @param acts that may arrive some time after the holder has checked its lease
   * @param releases times that a holder gives the duty back and the other candidate is notified
   */
  public record Bounds(
      boolean changingRates,
      int ticks,
      int lateMessages,
      int retries,
      int crashes,
      int restarts,
      int acts,
      int releases) {}

  public static final LeaseElector.Settings SETTINGS =
      new LeaseElector.Settings(6_000_000, 0.25, 0, 2_000_000);
  private static final long TICK_MICROS = 2_000_000;
  private static final long ATTEMPT_TIMEOUT_MICROS = 1_000_000;

  /** Timers that are due this soon may fire now; otherwise each short wait would cost a tick. */
  private static final long TIMER_TOLERANCE_MICROS = 1_000;

  /** Rates of a slow and of a fast clock. */
  private static final double[] CLOCK_RATES = {
    1 - SETTINGS.clockDrift(), 1 + SETTINGS.clockDrift()
  };

  private static final int[][] MAJORITIES = {{0, 1}, {1, 2}, {0, 2}};

  /** Argument of {@link #tick}: the first clock is slow and the second one fast. */
  private static final int SLOW_AND_FAST = 2;

  /** Number of arguments of {@link #tick}. */
  private static final int RATE_COMBINATIONS = 4;

  /** Number of actions of {@link #candidateStep}. */
  private static final int CANDIDATE_ACTIONS = 5;

  private static final String REGISTER = "duty";
  private static final List<String> VOTERS = List.of("v0", "v1", "v2");

  /** Draws the shortest delays; longer ones are covered, as a timer may fire late. */
  private static final RandomGenerator SHORTEST_DELAYS = () -> 0L;

  /**
   * A request or a late answer in flight.
   *
   * @param candidate number of the candidate that sent the request
   * @param life of that candidate; a restarted one ignores answers to its earlier life
   */
  private record InFlightMessage(int candidate, int life, int voter, ConsensusMessage message) {}

  /** A front end that may take the duty, with its clock and its proposer. */
  private final class Candidate implements LeaseElector.Outbox, Proposer.Outbox {
    final int number;
    int life;
    long clock;
    long timerAt;
    long retryAt;
    long requestEndsAt;
    LeaseElector elector;
    Proposer proposer;

    Candidate(int number, int life) {
      this.number = number;
      this.life = life;
      create();
    }

    /** Copies a candidate into another state of the model. */
    Candidate(Candidate other) {
      this(other.number, other.life);
      clock = other.clock;
      timerAt = other.timerAt;
      retryAt = other.retryAt;
      requestEndsAt = other.requestEndsAt;
      Proposer.Change pendingChange = elector.copyStateFrom(other.elector);
      // A read has no pending change; the proposer's own change for it has no state to copy.
      proposer.copyStateFrom(
          other.proposer, change -> pendingChange == null ? change : pendingChange);
    }

    private void create() {
      clock = life * 1_000_000_000L;
      timerAt = Long.MAX_VALUE;
      retryAt = Long.MAX_VALUE;
      elector = factory.make(SETTINGS, "c" + number, life, SHORTEST_DELAYS, this);
      proposer =
          new Proposer(
              "c" + number + "/" + life, VOTERS, ATTEMPT_TIMEOUT_MICROS, SHORTEST_DELAYS, this);
    }

    /** Starts a new process. */
    void start() {
      life++;
      create();
      elector.start(clock);
    }

    @Override
    public void read(long until) {
      requestEndsAt = until;
      proposer.read(clock, REGISTER, until);
    }

    @Override
    public void propose(Proposer.Change change, long until) {
      requestEndsAt = until;
      proposer.submit(clock, REGISTER, change, until);
    }

    @Override
    public void send(String voter, ConsensusMessage message) {
      requests.add(new InFlightMessage(number, life, VOTERS.indexOf(voter), message));
    }

    @Override
    public void startRetryTimer(long at) {
      retryAt = at;
    }

    @Override
    public void startTimer(long at) {
      timerAt = at;
    }

    @Override
    public void completed(RegisterValue value) {
      retryAt = Long.MAX_VALUE;
      elector.onRegisterResult(clock, value);
    }

    @Override
    public void onFenceChange(long fence, String cause) {
      if (fence >= 0) {
        String holder = number + "/" + life;
        if (!holders.computeIfAbsent(fence, f -> holder).equals(holder)) {
          violation = "fence " + fence + " is held by " + holders.get(fence) + " and by " + holder;
        }
      }
    }

    String stateText() {
      return elector.stateText(clock)
          + proposer.stateText()
          + (timerAt == Long.MAX_VALUE ? "-" : Math.max(0, timerAt - clock))
          + " "
          + (retryAt == Long.MAX_VALUE
              ? "-"
              : Math.max(0, retryAt - clock) + "/" + Math.max(0, requestEndsAt - clock))
          + " "
          + life;
    }
  }

  private final LeaseSimulation.Factory factory;
  private final LeaseSimulation.Fault fault;
  private final Voter[] voters = new Voter[VOTERS.size()];

  /** State of each voter on disk, which a crash leaves intact. */
  private final List<Map<String, Voter.Slot>> synced = new ArrayList<>();

  private final List<InFlightMessage> requests = new ArrayList<>();
  private final List<InFlightMessage> lateAnswers = new ArrayList<>();

  /** Fences of the acts in flight. */
  private final List<Long> acts = new ArrayList<>();

  /** Candidate and life that took the duty under each fence. */
  private final Map<Long, String> holders = new HashMap<>();

  private final FenceRegistry fences = new FenceRegistry();
  private final Candidate[] candidates = new Candidate[2];
  private final boolean changingRates;
  private int ticksLeft;
  private int lateMessagesLeft;
  private int retriesLeft;
  private int crashesLeft;
  private int restartsLeft;
  private int actsLeft;
  private int releasesLeft;
  private long lastAcceptedFence = -1;
  private String violation;

  public LeaseModel(Bounds bounds, LeaseSimulation.Factory factory, LeaseSimulation.Fault fault) {
    this.factory = factory;
    this.fault = fault;
    changingRates = bounds.changingRates;
    ticksLeft = bounds.ticks;
    lateMessagesLeft = bounds.lateMessages;
    retriesLeft = bounds.retries;
    crashesLeft = bounds.crashes;
    restartsLeft = bounds.restarts;
    actsLeft = bounds.acts;
    releasesLeft = bounds.releases;
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

  private LeaseModel(LeaseModel other) {
    factory = other.factory;
    fault = other.fault;
    changingRates = other.changingRates;
    ticksLeft = other.ticksLeft;
    lateMessagesLeft = other.lateMessagesLeft;
    retriesLeft = other.retriesLeft;
    crashesLeft = other.crashesLeft;
    restartsLeft = other.restartsLeft;
    actsLeft = other.actsLeft;
    releasesLeft = other.releasesLeft;
    lastAcceptedFence = other.lastAcceptedFence;
    violation = other.violation;
    fences.observe(REGISTER, Math.max(0, lastAcceptedFence));
    requests.addAll(other.requests);
    lateAnswers.addAll(other.lateAnswers);
    acts.addAll(other.acts);
    holders.putAll(other.holders);
    for (int v = 0; v < voters.length; v++) {
      voters[v] = new Voter(other.voters[v].slots(), 1);
      synced.add(other.synced.get(v));
    }
    for (int c = 0; c < candidates.length; c++) {
      candidates[c] = new Candidate(other.candidates[c]);
    }
  }

  @Override
  public LeaseModel copy() {
    return new LeaseModel(this);
  }

  /** Messages in flight, actions of candidates, faults and ticks of the clocks. */
  @Override
  public int choiceCount() {
    return 2 * MAJORITIES.length * candidates.length
        + lateAnswers.size()
        + CANDIDATE_ACTIONS * candidates.length
        + acts.size()
        + 2 * requests.size()
        + voters.length
        + RATE_COMBINATIONS;
  }

  @Override
  public boolean takeStep(int choice) {
    boolean taken = perform(choice);
    requests.removeIf(
        s ->
            (lateMessagesLeft == 0 || !(s.message instanceof ConsensusMessage.Accept))
                && !isAwaited(s));
    lateAnswers.removeIf(s -> !isAwaited(s));
    return taken;
  }

  private boolean isAwaited(InFlightMessage inFlight) {
    Candidate candidate = candidates[inFlight.candidate];
    return candidate.life == inFlight.life
        && candidate.proposer.isBusy()
        && candidate.proposer.isForCurrentPhase(inFlight.message);
  }

  private boolean perform(int choice) {
    int index = choice;
    if (index < MAJORITIES.length * candidates.length) {
      return deliverToMajority(
          candidates[index % candidates.length], MAJORITIES[index / candidates.length], false);
    }
    index -= MAJORITIES.length * candidates.length;
    if (index < lateAnswers.size()) {
      syncAndAnswer(lateAnswers.remove(index));
      return true;
    }
    index -= lateAnswers.size();
    if (index < CANDIDATE_ACTIONS * candidates.length) {
      return candidateStep(candidates[index % candidates.length], index / candidates.length);
    }
    index -= CANDIDATE_ACTIONS * candidates.length;
    if (index < acts.size()) {
      receiveAct(acts.remove(index));
      return true;
    }
    index -= acts.size();
    if (index < 2 * requests.size()) {
      if (lateMessagesLeft == 0) {
        return false;
      }
      lateMessagesLeft--;
      deliverRequest(requests.remove(index / 2), index % 2 == 1);
      return true;
    }
    index -= 2 * requests.size();
    if (index < MAJORITIES.length * candidates.length) {
      return lateMessagesLeft > 0
          && deliverToMajority(
              candidates[index % candidates.length], MAJORITIES[index / candidates.length], true);
    }
    index -= MAJORITIES.length * candidates.length;
    return index < voters.length ? crash(index) : tick(index - voters.length);
  }

  /** Delivers a request to two voters that answer at once, or whose answers are lost. */
  private boolean deliverToMajority(Candidate candidate, int[] majority, boolean answersLost) {
    List<InFlightMessage> delivered = new ArrayList<>();
    for (int v : majority) {
      requests.stream()
          .filter(s -> s.candidate == candidate.number && s.voter == v && isAwaited(s))
          .findFirst()
          .ifPresent(delivered::add);
    }
    if (delivered.size() < majority.length) {
      return false;
    }
    requests.removeAll(delivered);
    delivered.forEach(s -> deliverRequest(s, answersLost));
    if (answersLost) {
      lateMessagesLeft--;
      lateAnswers.subList(lateAnswers.size() - majority.length, lateAnswers.size()).clear();
      for (int v : majority) {
        synced.set(v, Map.copyOf(voters[v].slots()));
      }
    }
    return true;
  }

  /**
   * Advances both clocks by a tick.
   *
   * @param rates the lowest bit is set if the first clock is fast, the next one if the second is
   */
  private boolean tick(int rates) {
    if (ticksLeft == 0 || !changingRates && rates != SLOW_AND_FAST) {
      return false;
    }
    ticksLeft--;
    candidates[0].clock += (long) (TICK_MICROS * CLOCK_RATES[rates & 1]);
    candidates[1].clock += (long) (TICK_MICROS * CLOCK_RATES[rates >> 1]);
    return true;
  }

  /** Lets the receiver of the acts accept or refuse one. */
  private void receiveAct(long fence) {
    if (fences.accept(REGISTER, fence) || fault == LeaseSimulation.Fault.ACCEPTS_OLD_FENCES) {
      if (fence < lastAcceptedFence) {
        violation = "an act of fence " + fence + " was accepted after one of " + lastAcceptedFence;
      }
      lastAcceptedFence = fence;
    }
  }

  /**
   * Performs an action of a candidate, if it is possible now.
   *
   * @param action 0 fires the elector's timer, 1 the proposer's, 2 sends an act, 3 restarts the
   *     process, 4 gives the duty back
   */
  private boolean candidateStep(Candidate candidate, int action) {
    switch (action) {
      case 0 -> {
        if (candidate.clock + TIMER_TOLERANCE_MICROS < candidate.timerAt) {
          return false;
        }
        candidate.timerAt = Long.MAX_VALUE;
        candidate.elector.onTimer(candidate.clock);
      }
      case 1 -> {
        boolean isRetry = candidate.clock < candidate.requestEndsAt;
        if (candidate.clock < candidate.retryAt || isRetry && retriesLeft == 0) {
          return false;
        }
        retriesLeft -= isRetry ? 1 : 0;
        candidate.proposer.onTimer(candidate.clock);
      }
      case 2 -> {
        long fence = candidate.elector.activeFence(candidate.clock);
        if (actsLeft == 0 || fence < 0) {
          return false;
        }
        actsLeft--;
        acts.add(fence);
      }
      case 3 -> {
        if (restartsLeft == 0) {
          return false;
        }
        restartsLeft--;
        candidate.start();
      }
      default -> {
        if (releasesLeft == 0 || candidate.elector.activeFence(candidate.clock) < 0) {
          return false;
        }
        releasesLeft--;
        candidate.elector.setEligible(candidate.clock, false);
        candidates[1 - candidate.number].elector.refresh(candidates[1 - candidate.number].clock);
      }
    }
    return true;
  }

  private boolean crash(int voter) {
    if (crashesLeft == 0) {
      return false;
    }
    crashesLeft--;
    voters[voter] =
        new Voter(
            fault == LeaseSimulation.Fault.VOTES_WITHOUT_FOLDER ? Map.of() : synced.get(voter), 1);
    synced.set(voter, voters[voter].slots().isEmpty() ? Map.of() : synced.get(voter));
    // Answers are late until the voter has synced, so the crash loses them.
    lateAnswers.removeIf(answer -> answer.voter == voter);
    return true;
  }

  /** Delivers a request to its voter. A late answer waits for the sync of what it reports. */
  private void deliverRequest(InFlightMessage request, boolean isLate) {
    Map<String, Voter.Slot> before =
        fault == LeaseSimulation.Fault.SKIPS_SYNC
            ? Map.copyOf(voters[request.voter].slots())
            : null;
    Voter.VoteResult result = voters[request.voter].handle(request.message);
    if (result == null) {
      return;
    }
    InFlightMessage answer =
        new InFlightMessage(request.candidate, request.life, request.voter, result.answer());
    if (isLate) {
      lateAnswers.add(answer);
    } else if (fault == LeaseSimulation.Fault.SKIPS_SYNC) {
      synced.set(request.voter, before);
      deliverAnswer(answer);
    } else {
      syncAndAnswer(answer);
    }
  }

  private void syncAndAnswer(InFlightMessage answer) {
    synced.set(answer.voter, Map.copyOf(voters[answer.voter].slots()));
    deliverAnswer(answer);
  }

  private void deliverAnswer(InFlightMessage answer) {
    Candidate candidate = candidates[answer.candidate];
    if (candidate.life == answer.life) {
      candidate.proposer.receive(candidate.clock, VOTERS.get(answer.voter), answer.message);
    }
  }

  @Override
  public String violation() {
    boolean bothMayAct =
        candidates[0].elector.activeFence(candidates[0].clock) >= 0
            && candidates[1].elector.activeFence(candidates[1].clock) >= 0;
    return bothMayAct ? "both candidates may act" : violation;
  }

  @Override
  public String stateText() {
    StringBuilder text =
        new StringBuilder()
            .append(ticksLeft)
            .append(',')
            .append(lateMessagesLeft)
            .append(retriesLeft)
            .append(crashesLeft)
            .append(restartsLeft)
            .append(actsLeft)
            .append(releasesLeft)
            .append(acts)
            .append(lastAcceptedFence)
            .append(holders);
    for (Candidate c : candidates) {
      text.append(c.stateText());
    }
    String[] byVoter = new String[voters.length];
    for (int v = 0; v < voters.length; v++) {
      StringBuilder voterText = new StringBuilder().append(voters[v].slots()).append(synced.get(v));
      for (Candidate c : candidates) {
        voterText.append(c.proposer.hasVoteOf(VOTERS.get(v)));
      }
      appendMessages(voterText, requests, v);
      appendMessages(voterText, lateAnswers, v);
      byVoter[v] = voterText.toString();
    }
    // The voters are interchangeable, so states that differ only in their order are the same.
    Arrays.sort(byVoter);
    return text.append(String.join("|", byVoter)).toString();
  }

  private void appendMessages(StringBuilder to, List<InFlightMessage> messages, int voter) {
    to.append('/');
    messages.stream()
        .filter(m -> m.voter == voter)
        .map(m -> m.candidate + (isAwaited(m) ? "+" : "-") + RegisterModel.text(m.message))
        .sorted()
        .forEach(to::append);
  }
}
