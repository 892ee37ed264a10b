package umberrun.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import umberrun.consensus.ConsensusMessage.Accept;
import umberrun.consensus.ConsensusMessage.Accepted;
import umberrun.consensus.ConsensusMessage.Prepare;
import umberrun.consensus.ConsensusMessage.Promised;
import umberrun.consensus.ConsensusMessage.Read;
import umberrun.consensus.ConsensusMessage.ReadResult;
import umberrun.consensus.ConsensusMessage.Refused;

/**
 * A proposer of CASPaxos: changes registers, one change at a time, with a majority of the voters.
 * It uses no I/O, threads or clocks; times are microseconds of the caller's monotonic clock.
 */
public final class Proposer {
  /**
   * A change of a register. Each attempt applies it to the value that the register has then, so it
   * may be called several times.
   */
  public interface Change {
    /** The new value, or {@code now} itself to leave the value as it is. */
    RegisterValue apply(RegisterValue now);
  }

  /** Receives what the proposer sends, its timer and its results. */
  public interface Outbox {
    /** Sends a request to a voter. */
    void send(String voter, ConsensusMessage message);

    /**
     * Starts the proposer's only timer, replacing an earlier one; {@link #onTimer} is to be called
     * at that time.
     */
    void startRetryTimer(long at);

    /**
     * A change or read has ended.
     *
     * @param value the value of the register at the end, or null if the outcome is unknown
     */
    void completed(RegisterValue value);
  }

  private static final long INITIAL_BACKOFF_MICROS = 10_000;

  /**
   * How long a read waits for the remaining voters after a majority has responded with different
   * values.
   */
  private static final long READ_GRACE_MICROS = 25_000;

  private static final long MAX_BACKOFF_MICROS = 320_000;

  private final String name;
  private List<String> voters;
  private final long requestTimeout;
  private final RandomGenerator random;
  private final Outbox out;
  private long round;
  private long op;
  private String register;
  private Change change;
  private long deadline;
  private long backoff;

  /** Time to wait for responses; doubled after each attempt without a majority. */
  private long attemptTimeout;

  /** The voters that responded positively in this phase. */
  private final Set<String> votes = new HashSet<>();

  /** The highest accepted ballot among the promises. */
  private Ballot highestAccepted;

  private RegisterValue value;
  private boolean reading;

  /** The number of voters by the ballot they accepted last, during a read. */
  private final Map<Ballot, Integer> readVotes = new TreeMap<>();

  private boolean accepting;
  private boolean backingOff;

  /**
   * @param name unique among all proposers, and new at each start, as rounds are not stored
   * @param voters keys of the voters
   * @param requestTimeout time to wait for the responses of the first attempt, in microseconds;
   *     later attempts wait longer, as a link may be slower than that
   * @param random source of the backoff
   * @param out receives requests, timers and results
   */
  public Proposer(
      String name, List<String> voters, long requestTimeout, RandomGenerator random, Outbox out) {
    this.name = name;
    this.voters = voters;
    this.requestTimeout = requestTimeout;
    this.random = random;
    this.out = out;
  }

  /** Replaces the voters. A change in progress starts a new attempt with them. */
  public void setVoters(long now, List<String> newVoters) {
    voters = List.copyOf(newVoters);
    if (isBusy() && now < deadline) {
      startAttempt(now);
    } else {
      // Responses of the previous voters to the current attempt must not be counted.
      resetAttempt();
    }
  }

  /** Whether a change or read is in progress. */
  public boolean isBusy() {
    return change != null;
  }

  /** Starts a change, which is given up at {@code deadline}. */
  public void submit(long now, String register, Change change, long deadline) {
    startChange(register, change, deadline);
    startAttempt(now);
  }

  /**
   * Starts a read, which is given up at {@code deadline}. If a majority reports the same accepted
   * ballot, its value was chosen, and no later value was chosen before the read began, as that
   * would have needed a voter of this majority. So the read is linearizable and does not interfere
   * with changes. Otherwise it continues as a change that leaves the value as it is.
   */
  public void read(long now, String register, long deadline) {
    startChange(register, current -> current, deadline);
    resetAttempt();
    reading = true;
    voters.forEach(voter -> out.send(voter, new Read(op, register)));
    out.startRetryTimer(Math.min(deadline, now + attemptTimeout));
  }

  private void startChange(String register, Change change, long deadline) {
    if (isBusy()) {
      throw new IllegalStateException("another change is in progress");
    }
    this.register = register;
    this.change = change;
    this.deadline = deadline;
    this.backoff = INITIAL_BACKOFF_MICROS;
    this.attemptTimeout = requestTimeout;
  }

  private void resetAttempt() {
    op++;
    votes.clear();
    highestAccepted = Ballot.NONE;
    value = RegisterValue.NONE;
    reading = false;
    readVotes.clear();
    accepting = false;
    backingOff = false;
  }

  private void startAttempt(long now) {
    resetAttempt();
    round++;
    voters.forEach(voter -> out.send(voter, new Prepare(op, register, new Ballot(round, name))));
    out.startRetryTimer(Math.min(deadline, now + attemptTimeout));
  }

  /** Handles the response of a voter. */
  public void receive(long now, String voter, ConsensusMessage message) {
    if (!awaits(message)) {
      return; // belongs to an earlier attempt
    }
    if (message instanceof ReadResult readResult && votes.add(voter)) {
      // Without this, the first prepare after a read without a majority would be refused.
      round = Math.max(round, readResult.accepted().round());
      if (readVotes.merge(readResult.accepted(), 1, Integer::sum) > voters.size() / 2) {
        complete(readResult.value());
      } else if (votes.size() == voters.size()) {
        startAttempt(now);
      } else if (isMajority()) {
        // A change is in progress; preparing a ballot now would interrupt it.
        out.startRetryTimer(Math.min(deadline, now + READ_GRACE_MICROS));
      }
    } else if (message instanceof Refused refused) {
      round = Math.max(round, refused.promised().round());
      backingOff = true;
      backoff = Math.min(MAX_BACKOFF_MICROS, 2 * backoff);
      // The random delay keeps two competing proposers from colliding again.
      out.startRetryTimer(Math.min(deadline, now + (long) (backoff * random.nextDouble())));
    } else if (message instanceof Promised promised && votes.add(voter)) {
      if (promised.accepted().compareTo(highestAccepted) > 0) {
        highestAccepted = promised.accepted();
        value = promised.value();
      }
      if (isMajority()) {
        accepting = true;
        votes.clear();
        value = change.apply(value);
        voters.forEach(
            recipient ->
                out.send(recipient, new Accept(op, register, new Ballot(round, name), value)));
      }
    } else if (message instanceof Accepted && votes.add(voter) && isMajority()) {
      complete(value);
    }
  }

  /** Whether a response may still have an effect. */
  public boolean awaits(ConsensusMessage message) {
    return isBusy() && !backingOff && isForCurrentPhase(message);
  }

  /** Whether a request or response belongs to the current phase of the current attempt. */
  public boolean isForCurrentPhase(ConsensusMessage message) {
    return message.op() == op
        && (message instanceof Refused
            || (reading
                ? message instanceof Read || message instanceof ReadResult
                : accepting
                    ? message instanceof Accept || message instanceof Accepted
                    : message instanceof Prepare || message instanceof Promised));
  }

  /**
   * Takes over the state of a proposer of the same name, for model checking.
   *
   * @param copyChange maps the other's change to the one that this proposer is to apply
   */
  public void copyStateFrom(Proposer other, UnaryOperator<Change> copyChange) {
    round = other.round;
    op = other.op;
    register = other.register;
    change = other.change == null ? null : copyChange.apply(other.change);
    deadline = other.deadline;
    backoff = other.backoff;
    attemptTimeout = other.attemptTimeout;
    votes.addAll(other.votes);
    highestAccepted = other.highestAccepted;
    value = other.value;
    reading = other.reading;
    readVotes.putAll(other.readVotes);
    accepting = other.accepting;
    backingOff = other.backingOff;
  }

  /**
   * Text of all state that determines the next steps, by which a model checker tells states apart.
   * It leaves out the voters that responded and the attempt numbers.
   */
  public String stateText() {
    return round
        + " "
        + attemptTimeout
        + " "
        + isBusy()
        + " "
        + reading
        + readVotes
        + accepting
        + backingOff
        + " "
        + highestAccepted
        + " "
        + value;
  }

  /** Whether a voter has responded positively in the current phase. */
  public boolean hasVoteOf(String voter) {
    return votes.contains(voter);
  }

  private boolean isMajority() {
    return votes.size() > voters.size() / 2;
  }

  /** Handles the end of the timer: gives up at the deadline, or starts another attempt. */
  public void onTimer(long now) {
    if (isBusy() && now >= deadline) {
      complete(null);
    } else if (isBusy()) {
      attemptTimeout = backingOff || reading && isMajority() ? attemptTimeout : 2 * attemptTimeout;
      startAttempt(now);
    }
  }

  private void complete(RegisterValue result) {
    change = null;
    out.completed(result);
  }
}
