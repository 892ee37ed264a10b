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
 * Replaces one voter by another while all goes on, or goes on with a replacement that somebody
 * began. Free of I/O, threads and clocks. It goes round: read which set stands in the register;
 * have majorities of that set and of the one before it take it; then either it is what is wanted,
 * or the next set is written. The argument is in {@code docs/leases.md}.
 */
public class VoterReplacement {
  /** What it wants done. */
  public interface Outbox {
    void send(String voter, ConsensusMessage m);

    /** Has a register changed by the proposer; {@code onRegisterResult} is owed for it. */
    void propose(String register, Proposer.Change change, long until);

    /** This set is known to stand, and is to be asked from now on. */
    void adopt(VoterSet voters);

    /** Starts the one wait, in the place of the one before. */
    void startTimer(long at);

    /** It is over: null, or why it did not come about. */
    void completed(String fault);
  }

  private enum Phase {
    READING,
    INSTALLING,
    LISTING,
    CARRYING,
    WRITING,
    OVER
  }

  private static final long AGAIN = 200_000;
  private static final long PATIENCE = 3_000_000;

  private final String comes;
  private final String leaves;
  private final long until;
  private final Outbox out;
  private Phase phase = Phase.OVER;
  private VoterSet known;
  private long version;
  private long op;
  private final Set<String> said = new HashSet<>();
  private final Set<String> names = new TreeSet<>();
  private Deque<String> toCarry = new ArrayDeque<>();

  /**
   * @param known the set that is asked first
   * @param comes key of the newcomer, or empty to go on only with what somebody began
   * @param leaves key of the voter that it replaces
   * @param until when it is given up
   */
  public VoterReplacement(VoterSet known, String comes, String leaves, long until, Outbox out) {
    this.known = known;
    this.comes = comes;
    this.leaves = leaves;
    this.until = until;
    this.out = out;
  }

  public void start(long now) {
    read(now);
  }

  private void read(long now) {
    phase = Phase.READING;
    VoterSet begun = known;
    out.propose(
        VoterSet.REGISTER,
        v -> v.text().isEmpty() ? v.withText(begun.text()) : v,
        Math.min(until, now + PATIENCE));
  }

  /** A change of a register is over: what it held then, or null where that is not known. */
  public void onRegisterResult(long now, RegisterValue v) {
    if (phase == Phase.OVER) {
      return;
    }
    if (v == null) {
      if (now >= until) {
        end("no majority of " + known.keys() + " answers");
      } else if (phase == Phase.CARRYING) {
        carry(now);
      } else {
        read(now);
      }
      return;
    }
    switch (phase) {
      case READING -> {
        version = v.version();
        known = VoterSet.parse(v.text());
        ask(now, Phase.INSTALLING);
      }
      case CARRYING -> {
        toCarry.poll();
        carry(now);
      }
      case WRITING -> read(now); // whoever has written: what stands there is gone on with
      default -> {}
    }
  }

  private void ask(long now, Phase next) {
    phase = next;
    said.clear();
    op++;
    names.clear();
    again(now);
  }

  private void again(long now) {
    Set<String> all = new TreeSet<>(known.keys());
    all.addAll(phase == Phase.INSTALLING ? known.former() : List.of());
    all.removeAll(said);
    all.forEach(
        k ->
            out.send(
                k, phase == Phase.INSTALLING ? new Install(op, known) : new ListRegisters(op)));
    out.startTimer(Math.min(until, now + AGAIN));
  }

  /** A voter has answered. */
  public void receive(long now, String voter, ConsensusMessage m) {
    if (phase != Phase.INSTALLING && phase != Phase.LISTING || m.op() != op) {
      return; // late: a change of a register is under way, and its outcome is to be told first
    }
    if (m instanceof Outdated) {
      read(now);
    } else if (phase == Phase.INSTALLING
        && m instanceof Installed
        && said.add(voter)
        && isInstalled()) {
      out.adopt(known);
      if (known.isTransitional() && copiesRegisters()) {
        ask(now, Phase.LISTING);
      } else if (known.isTransitional()) {
        write(now, known.withoutLeaving());
      } else if (comes.isEmpty() || known.keys().contains(comes)) {
        end(null);
      } else if (!known.keys().contains(leaves)) {
        end(leaves + " does not vote");
      } else {
        write(now, nextVoterSet());
      }
    } else if (phase == Phase.LISTING && m instanceof RegisterNames n && said.add(voter)) {
      names.addAll(n.names());
      if (VoterSet.isMajority(said, known.keys())) {
        toCarry = new ArrayDeque<>(names);
        phase = Phase.CARRYING;
        carry(now);
      }
    }
  }

  /** Guards against majorities of the set before, which need not meet those of the next one. */
  private boolean isInstalled() {
    return VoterSet.isMajority(said, known.keys())
        && (known.former().isEmpty() || VoterSet.isMajority(said, known.former()));
  }

  /** The set that follows: tests put in one that swaps two at once. */
  protected VoterSet nextVoterSet() {
    return known.with(comes, leaves);
  }

  /** Whether what the registers hold is written anew before one leaves. */
  protected boolean copiesRegisters() {
    return true;
  }

  /**
   * Writes each register as it is, by a majority of the set on the way: one of those is in each
   * majority of the next set.
   */
  private void carry(long now) {
    String next = toCarry.peek();
    if (next == null) {
      write(now, known.withoutLeaving());
    } else {
      out.propose(next, v -> v, Math.min(until, now + PATIENCE));
    }
  }

  private void write(long now, VoterSet next) {
    phase = Phase.WRITING;
    long mine = version;
    out.propose(
        VoterSet.REGISTER,
        v -> v.version() == mine ? v.withText(next.text()) : v,
        Math.min(until, now + PATIENCE));
  }

  /** Its wait is over. */
  public void onTimer(long now) {
    if (phase == Phase.INSTALLING || phase == Phase.LISTING) {
      if (now >= until) {
        end(
            "not enough of "
                + known.keys()
                + (known.former().isEmpty() ? "" : " and " + known.former())
                + " answer");
      } else {
        again(now);
      }
    }
  }

  private void end(String fault) {
    phase = Phase.OVER;
    out.completed(fault);
  }
}
