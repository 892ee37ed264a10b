package umberrun.consensus;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import umberrun.consensus.ConsensusMessage.Install;
import umberrun.consensus.ConsensusMessage.Installed;
import umberrun.consensus.ConsensusMessage.VoterDescription;
import umberrun.consensus.ConsensusMessage.VoterQuery;

/**
 * Founds the first set of voters: all that are named must answer, name the same, and none may have
 * voted before, since a majority of those with a memory may live behind a cut. Free of I/O, threads
 * and clocks. Begun twice it comes to the same set.
 */
public final class VoterBootstrap {
  /** What it wants done. */
  public interface Outbox {
    /** To a front end by its name. */
    void send(String name, ConsensusMessage m);

    void startTimer(long at);

    /** It is over: null, or why it did not come about. */
    void completed(VoterSet founded, String fault);
  }

  private enum Phase {
    ASKING,
    MAKING,
    INSTALLING,
    OVER
  }

  private static final long AGAIN = 200_000;

  private final List<String> names;
  private final long until;
  private final Outbox out;
  private final Map<String, String> said = new TreeMap<>();
  private Phase phase = Phase.ASKING;
  private VoterSet first;
  private long op = 1;

  public VoterBootstrap(List<String> names, long until, Outbox out) {
    this.names = names.stream().sorted().toList();
    this.until = until;
    this.out = out;
  }

  public void start(long now) {
    again(now);
  }

  private void again(long now) {
    for (String name : names) {
      if (!said.containsKey(name)) {
        out.send(
            name,
            phase == Phase.INSTALLING
                ? new Install(op, first)
                : new VoterQuery(op, phase == Phase.MAKING, VoterSet.UNKNOWN, names));
      }
    }
    out.startTimer(Math.min(until, now + AGAIN));
  }

  /** Whom an answer is for: a key in {@link Phase#INSTALLING}, else nobody yet. */
  public String keyOf(String name) {
    return first == null ? "" : first.keyOf(name);
  }

  public void receive(long now, String name, ConsensusMessage m) {
    if (phase == Phase.OVER || m.op() != op || !names.contains(name)) {
      return;
    }
    if (m instanceof VoterDescription s && phase != Phase.INSTALLING) {
      if (s.known().epoch() > 0) {
        end(null, name + " knows of voters already: " + s.known().keys());
      } else if (!s.fault().isEmpty()) {
        end(null, name + ": " + s.fault());
      } else if (phase == Phase.ASKING || !s.key().isEmpty()) {
        said.put(name, s.key());
      }
    } else if (m instanceof Installed && phase == Phase.INSTALLING) {
      said.put(name, "");
    } else if (phase == Phase.INSTALLING) {
      end(null, name + " has taken another set");
    }
    if (phase != Phase.OVER && said.size() == names.size()) {
      further(now);
    }
  }

  private void further(long now) {
    if (phase == Phase.INSTALLING) {
      end(first, null);
      return;
    }
    if (phase == Phase.MAKING) {
      first = VoterSet.first(List.copyOf(said.values()));
    }
    phase = phase == Phase.ASKING ? Phase.MAKING : Phase.INSTALLING;
    said.clear();
    op++;
    again(now);
  }

  /** Its wait is over. */
  public void onTimer(long now) {
    if (phase != Phase.OVER && now >= until) {
      end(null, "not all answer; those that do: " + said.keySet());
    } else if (phase != Phase.OVER) {
      again(now);
    }
  }

  private void end(VoterSet founded, String fault) {
    phase = Phase.OVER;
    out.completed(founded, fault);
  }
}
