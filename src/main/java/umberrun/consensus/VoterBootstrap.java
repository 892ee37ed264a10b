package umberrun.consensus;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import umberrun.consensus.ConsensusMessage.Install;
import umberrun.consensus.ConsensusMessage.Installed;
import umberrun.consensus.ConsensusMessage.VoterDescription;
import umberrun.consensus.ConsensusMessage.VoterQuery;

/**
 * Creates the first voter set. All named front ends must respond and be configured with the same
 * names, and none of them may know a voter set: a majority of existing voters could be alive behind
 * a network partition. Running it twice gives the same set. It uses no I/O, threads or clocks;
 * times are in microseconds.
 */
public final class VoterBootstrap {
  /** Receives requests, timers and the result. */
  public interface Outbox {
    /** Sends a request to a front end. */
    void send(String name, ConsensusMessage message);

    /**
     * Starts the only timer, replacing an earlier one; {@link #onTimer} is to be called at that
     * time.
     */
    void startTimer(long at);

    /**
     * The bootstrap has ended.
     *
     * @param founded the first set, null if it was not created
     * @param fault why it was not created, null if it was
     */
    void completed(VoterSet founded, String fault);
  }

  private enum Phase {
    QUERYING,
    CREATING,
    INSTALLING,
    FINISHED
  }

  private static final long RESEND_INTERVAL_MICROS = 200_000;

  private final List<String> names;
  private final long deadline;
  private final Outbox out;

  /**
   * The front ends that have responded in this phase, each with the key of its voter; empty if it
   * has none or the phase does not need it.
   */
  private final Map<String, String> keyByName = new TreeMap<>();

  private Phase phase = Phase.QUERYING;
  private VoterSet firstSet;
  private long op = 1;

  /**
   * @param names of the front ends that are to vote
   * @param deadline when the bootstrap is given up
   */
  public VoterBootstrap(List<String> names, long deadline, Outbox out) {
    this.names = names.stream().sorted().toList();
    this.deadline = deadline;
    this.out = out;
  }

  /** Sends the first requests. */
  public void start(long now) {
    sendRequests(now);
  }

  private void sendRequests(long now) {
    for (String name : names) {
      if (!keyByName.containsKey(name)) {
        out.send(
            name,
            phase == Phase.INSTALLING
                ? new Install(op, firstSet)
                : new VoterQuery(op, phase == Phase.CREATING, VoterSet.UNKNOWN, names));
      }
    }
    out.startTimer(Math.min(deadline, now + RESEND_INTERVAL_MICROS));
  }

  /** The key that a request to a front end is addressed to: empty until the keys are known. */
  public String keyOf(String name) {
    return firstSet == null ? "" : firstSet.keyOf(name);
  }

  /** Handles the response of a front end. */
  public void receive(long now, String name, ConsensusMessage message) {
    if (phase == Phase.FINISHED || message.op() != op || !names.contains(name)) {
      return;
    }
    if (message instanceof VoterDescription description && phase != Phase.INSTALLING) {
      if (description.known().epoch() > 0) {
        finish(null, name + " knows of voters already: " + description.known().keys());
      } else if (!description.fault().isEmpty()) {
        finish(null, name + ": " + description.fault());
      } else if (phase == Phase.QUERYING || !description.key().isEmpty()) {
        keyByName.put(name, description.key());
      }
    } else if (message instanceof Installed && phase == Phase.INSTALLING) {
      keyByName.put(name, "");
    } else if (phase == Phase.INSTALLING) {
      finish(null, name + " has taken another set");
    }
    if (phase != Phase.FINISHED && keyByName.size() == names.size()) {
      startNextPhase(now);
    }
  }

  private void startNextPhase(long now) {
    if (phase == Phase.INSTALLING) {
      finish(firstSet, null);
      return;
    }
    if (phase == Phase.CREATING) {
      firstSet = VoterSet.first(List.copyOf(keyByName.values()));
    }
    phase = phase == Phase.QUERYING ? Phase.CREATING : Phase.INSTALLING;
    keyByName.clear();
    op++;
    sendRequests(now);
  }

  /** Repeats the requests that were not answered, or gives up at the deadline. */
  public void onTimer(long now) {
    if (phase != Phase.FINISHED && now >= deadline) {
      finish(null, "not all answer; those that do: " + keyByName.keySet());
    } else if (phase != Phase.FINISHED) {
      sendRequests(now);
    }
  }

  private void finish(VoterSet founded, String fault) {
    phase = Phase.FINISHED;
    out.completed(founded, fault);
  }
}
