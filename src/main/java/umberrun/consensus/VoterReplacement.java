package umberrun.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import umberrun.consensus.ConsensusMessage.Install;
import umberrun.consensus.ConsensusMessage.Installed;
import umberrun.consensus.ConsensusMessage.ListRegisters;
import umberrun.consensus.ConsensusMessage.Outdated;
import umberrun.consensus.ConsensusMessage.RegisterNames;

/**
 * Replaces one voter by another while the registers stay in use, or completes a replacement that
 * another process began. It repeats these steps: read the set that the register holds; install it
 * at majorities of that set and of the previous one; then finish if it is the wanted set, or else
 * write the next one. A voter that has installed a set rejects requests of older ones, so no
 * replaced set can complete a majority any more when the next set is written. It uses no I/O,
 * threads or clocks; times are in microseconds. The argument is in {@code docs/leases.md}.
 */
public class VoterReplacement {
  /** Receives requests, register changes, timers and the result. */
  public interface Outbox {
    /** Sends a request to a voter. */
    void send(String voter, ConsensusMessage message);

    /**
     * Has a proposer change a register, then calls {@link #onRegisterResult} once with the result.
     */
    void propose(String register, Proposer.Change change, long deadline);

    /** The set is installed at majorities; from now on requests go to its voters. */
    void adopt(VoterSet voters);

    /**
     * Starts the only timer, replacing an earlier one; {@link #onTimer} is to be called at that
     * time.
     */
    void startTimer(long at);

    /**
     * The replacement has ended.
     *
     * @param fault why it failed, null if it succeeded
     */
    void completed(String fault);
  }

  private enum Phase {
    READING,
    INSTALLING,
    LISTING,
    COPYING,
    WRITING,
    FINISHED
  }

  private static final long RESEND_INTERVAL_MICROS = 200_000;
  private static final long CHANGE_TIMEOUT_MICROS = 3_000_000;

  private final String newcomer;
  private final String leaver;
  private final long deadline;
  private final Outbox out;
  private Phase phase = Phase.FINISHED;
  private VoterSet known;
  private long setVersion;
  private long op;
  private final Set<String> answered = new HashSet<>();
  private final Set<String> registerNames = new TreeSet<>();
  private Deque<String> registersToCopy = new ArrayDeque<>();

  /**
   * @param known the set that is asked first
   * @param newcomer key of the voter to add, empty to only complete a replacement that was begun
   * @param leaver key of the voter to remove
   * @param deadline when the replacement is given up
   */
  public VoterReplacement(
      VoterSet known, String newcomer, String leaver, long deadline, Outbox out) {
    this.known = known;
    this.newcomer = newcomer;
    this.leaver = leaver;
    this.deadline = deadline;
    this.out = out;
  }

  /** Reads the current set. */
  public void start(long now) {
    readSet(now);
  }

  private void readSet(long now) {
    phase = Phase.READING;
    VoterSet initialSet = known;
    out.propose(
        VoterSet.REGISTER,
        value -> value.text().isEmpty() ? value.withText(initialSet.text()) : value,
        Math.min(deadline, now + CHANGE_TIMEOUT_MICROS));
  }

  /**
   * Handles the result of a register change.
   *
   * @param value what the register held at the end, null if the outcome is unknown
   */
  public void onRegisterResult(long now, RegisterValue value) {
    if (phase == Phase.FINISHED) {
      return;
    }
    if (value == null) {
      if (now >= deadline) {
        finish("no majority of " + known.keys() + " answers");
      } else if (phase == Phase.COPYING) {
        copyNextRegister(now);
      } else {
        readSet(now);
      }
      return;
    }
    switch (phase) {
      case READING -> {
        setVersion = value.version();
        known = VoterSet.parse(value.text());
        startRound(now, Phase.INSTALLING);
      }
      case COPYING -> {
        registersToCopy.poll();
        copyNextRegister(now);
      }
      // Another process may have written a set; continue with the one that the register holds.
      case WRITING -> readSet(now);
      default -> {}
    }
  }

  private void startRound(long now, Phase nextPhase) {
    phase = nextPhase;
    answered.clear();
    op++;
    registerNames.clear();
    sendRequests(now);
  }

  private void sendRequests(long now) {
    Set<String> recipients = new TreeSet<>(known.keys());
    recipients.addAll(phase == Phase.INSTALLING ? known.former() : List.of());
    recipients.removeAll(answered);
    recipients.forEach(
        key ->
            out.send(
                key, phase == Phase.INSTALLING ? new Install(op, known) : new ListRegisters(op)));
    out.startTimer(Math.min(deadline, now + RESEND_INTERVAL_MICROS));
  }

  /** Handles the response of a voter. */
  public void receive(long now, String voter, ConsensusMessage message) {
    if (phase != Phase.INSTALLING && phase != Phase.LISTING || message.op() != op) {
      return; // late: the result of the register change in progress comes first
    }
    if (message instanceof Outdated) {
      readSet(now);
    } else if (phase == Phase.INSTALLING
        && message instanceof Installed
        && answered.add(voter)
        && isInstalledByMajorities()) {
      out.adopt(known);
      if (known.isTransitional() && copiesRegisters()) {
        startRound(now, Phase.LISTING);
      } else if (known.isTransitional()) {
        writeSet(now, known.withoutLeaving());
      } else if (newcomer.isEmpty() || known.keys().contains(newcomer)) {
        finish(null);
      } else if (!known.keys().contains(leaver)) {
        finish(leaver + " does not vote");
      } else {
        writeSet(now, nextVoterSet());
      }
    } else if (phase == Phase.LISTING
        && message instanceof RegisterNames response
        && answered.add(voter)) {
      registerNames.addAll(response.names());
      if (VoterSet.isMajority(answered, known.keys())) {
        registersToCopy = new ArrayDeque<>(registerNames);
        phase = Phase.COPYING;
        copyNextRegister(now);
      }
    }
  }

  /**
   * Requires a majority of the previous set as well: its majorities need not overlap those of the
   * set after this one.
   */
  private boolean isInstalledByMajorities() {
    return VoterSet.isMajority(answered, known.keys())
        && (known.former().isEmpty() || VoterSet.isMajority(answered, known.former()));
  }

  /** The set to write next. Tests override it with one that replaces a voter in a single step. */
  protected VoterSet nextVoterSet() {
    return known.withReplacement(newcomer, leaver);
  }

  /** Whether the registers are written again before a voter leaves. Tests turn it off. */
  protected boolean copiesRegisters() {
    return true;
  }

  /**
   * Writes each register unchanged at a majority of the transitional set, so that each majority of
   * the next set contains a voter that has the value.
   */
  private void copyNextRegister(long now) {
    String register = registersToCopy.peek();
    if (register == null) {
      writeSet(now, known.withoutLeaving());
    } else {
      out.propose(register, value -> value, Math.min(deadline, now + CHANGE_TIMEOUT_MICROS));
    }
  }

  private void writeSet(long now, VoterSet next) {
    phase = Phase.WRITING;
    long expectedVersion = setVersion;
    out.propose(
        VoterSet.REGISTER,
        value -> value.version() == expectedVersion ? value.withText(next.text()) : value,
        Math.min(deadline, now + CHANGE_TIMEOUT_MICROS));
  }

  /** Repeats the requests that were not answered, or gives up at the deadline. */
  public void onTimer(long now) {
    if (phase == Phase.INSTALLING || phase == Phase.LISTING) {
      if (now >= deadline) {
        finish(
            "not enough of "
                + known.keys()
                + (known.former().isEmpty() ? "" : " and " + known.former())
                + " answer");
      } else {
        sendRequests(now);
      }
    }
  }

  private void finish(String fault) {
    phase = Phase.FINISHED;
    out.completed(fault);
  }
}
