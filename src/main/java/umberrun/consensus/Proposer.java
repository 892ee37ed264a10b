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
 * Carries out changes of registers, one at a time, with a majority of the voters (a proposer of
 * CASPaxos). Free of I/O, threads and clocks; times are in microseconds of the own steady clock.
 */
public final class Proposer {
  /** What becomes of a register. Called once a try, with what the register holds then. */
  public interface Change {
    /** The value that follows, or {@code now} itself where nothing is to change. */
    RegisterValue apply(RegisterValue now);
  }

  /** What the proposer wants done. */
  public interface Outbox {
    void send(String voter, ConsensusMessage m);

    /** Starts the one wait of the proposer, in the place of the one before. */
    void retry(long at);

    /**
     * A change is over: what the register held then, or null where it is not known whether it was
     * done.
     */
    void done(RegisterValue value);
  }

  private static final long FIRST_BACKOFF = 10_000;

  /** For so long a look waits for further voters where those that answered differ. */
  private static final long LOOK_ON = 25_000;

  private static final long LAST_BACKOFF = 320_000;

  private final String name;
  private List<String> setVoters;
  private final long patience;
  private final RandomGenerator random;
  private final Outbox out;
  private long round;
  private long op;
  private String register;
  private Change change;
  private long until;
  private long backoff;

  /** For the answers to the next try: twice as long after each that brought no majority. */
  private long wait;

  /** Those that said yes in this phase; the newest of what they had accepted. */
  private final Set<String> yes = new HashSet<>();

  private Ballot newest;
  private RegisterValue value;
  private boolean looking;

  /** How many have accepted the same last. */
  private final Map<Ballot, Integer> looked = new TreeMap<>();

  private boolean accepting;
  private boolean waits;

  /**
   * @param name its own, among all that propose; another with each start, as rounds are not
   *     remembered
   * @param patience for the answers to the first try of a change; longer for the next ones, as a
   *     link may be slower than that
   */
  public Proposer(
      String name, List<String> voters, long patience, RandomGenerator random, Outbox out) {
    this.name = name;
    this.setVoters = voters;
    this.patience = patience;
    this.random = random;
    this.out = out;
  }

  /** Others vote from now on: what was asked of those before is asked anew. */
  public void setVoters(long now, List<String> next) {
    setVoters = List.copyOf(next);
    if (isBusy() && now < until) {
      attempt(now);
    } else {
      next(); // what those before answer yet must not be counted among these
    }
  }

  public boolean isBusy() {
    return change != null;
  }

  /** Begins a change; given up at {@code until}. */
  public void submit(long now, String register, Change change, long until) {
    begin(register, change, until);
    attempt(now);
  }

  /**
   * Begins a read. Where a majority has accepted the same last, that was chosen, and nothing later
   * was before the read began, as that would need one of that majority: so it is linearizable
   * without disturbing anybody's change. Else it goes on as a change that changes nothing.
   */
  public void read(long now, String register, long until) {
    begin(register, v -> v, until);
    next();
    looking = true;
    setVoters.forEach(v -> out.send(v, new Read(op, register)));
    out.retry(Math.min(until, now + wait));
  }

  private void begin(String register, Change change, long until) {
    if (isBusy()) {
      throw new IllegalStateException("one change at a time");
    }
    this.register = register;
    this.change = change;
    this.until = until;
    this.backoff = FIRST_BACKOFF;
    this.wait = patience;
  }

  private void next() {
    op++;
    yes.clear();
    newest = Ballot.NONE;
    value = RegisterValue.NONE;
    looking = false;
    looked.clear();
    accepting = false;
    waits = false;
  }

  private void attempt(long now) {
    next();
    round++;
    setVoters.forEach(v -> out.send(v, new Prepare(op, register, new Ballot(round, name))));
    out.retry(Math.min(until, now + wait));
  }

  /** A voter has answered. */
  public void receive(long now, String voter, ConsensusMessage m) {
    if (!awaits(m)) {
      return; // to a try that is over
    }
    if (m instanceof ReadResult l && yes.add(voter)) {
      round =
          Math.max(
              round,
              l.accepted().round()); // else the first try of who only looked would be refused
      if (looked.merge(l.accepted(), 1, Integer::sum) > setVoters.size() / 2) {
        end(l.value());
      } else if (yes.size() == setVoters.size()) {
        attempt(now);
      } else if (isMajority()) {
        out.retry(
            Math.min(
                until, now + LOOK_ON)); // a change is under way, which both phases would disturb
      }
    } else if (m instanceof Refused r) {
      round = Math.max(round, r.promised().round());
      waits = true;
      backoff = Math.min(LAST_BACKOFF, 2 * backoff);
      out.retry(
          Math.min(
              until,
              now
                  + (long)
                      (backoff * random.nextDouble()))); // so that two that meet do not meet again
    } else if (m instanceof Promised p && yes.add(voter)) {
      if (p.accepted().compareTo(newest) > 0) {
        newest = p.accepted();
        value = p.value();
      }
      if (isMajority()) {
        accepting = true;
        yes.clear();
        value = change.apply(value);
        setVoters.forEach(
            v -> out.send(v, new Accept(op, register, new Ballot(round, name), value)));
      }
    } else if (m instanceof Accepted && yes.add(voter) && isMajority()) {
      end(value);
    }
  }

  /** Whether an answer may still make a difference. */
  public boolean awaits(ConsensusMessage m) {
    return isBusy() && !waits && isForCurrentPhase(m);
  }

  /** Whether a question or an answer belongs to the phase that it is in. */
  public boolean isForCurrentPhase(ConsensusMessage m) {
    return m.op() == op
        && (m instanceof Refused
            || (looking
                ? m instanceof Read || m instanceof ReadResult
                : accepting
                    ? m instanceof Accept || m instanceof Accepted
                    : m instanceof Prepare || m instanceof Promised));
  }

  /**
   * Goes on where another of the same name is, for explorers; {@code same} is its change as this
   * one is to make it.
   */
  public void copyStateFrom(Proposer o, UnaryOperator<Change> same) {
    round = o.round;
    op = o.op;
    register = o.register;
    change = o.change == null ? null : same.apply(o.change);
    until = o.until;
    backoff = o.backoff;
    wait = o.wait;
    yes.addAll(o.yes);
    newest = o.newest;
    value = o.value;
    looking = o.looking;
    looked.putAll(o.looked);
    accepting = o.accepting;
    waits = o.waits;
  }

  /**
   * All that decides what it does next but for who has said yes and how its tries are numbered, by
   * which explorers tell states apart.
   */
  public String stateText() {
    return round + " " + wait + " " + isBusy() + " " + looking + looked + accepting + waits + " "
        + newest + " " + value;
  }

  /** Whether a voter has said yes in this phase. */
  public boolean hasVoteOf(String voter) {
    return yes.contains(voter);
  }

  private boolean isMajority() {
    return yes.size() > setVoters.size() / 2;
  }

  /** Its wait is over. */
  public void onTimer(long now) {
    if (isBusy() && now >= until) {
      end(null);
    } else if (isBusy()) {
      wait = waits || looking && isMajority() ? wait : 2 * wait;
      attempt(now);
    }
  }

  private void end(RegisterValue result) {
    change = null;
    out.done(result);
  }
}
