package umberrun.consensus.sim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import umberrun.consensus.ConsensusMessage;
import umberrun.consensus.Proposer;
import umberrun.consensus.RegisterValue;
import umberrun.consensus.Voter;
import umberrun.sim.ModelChecker;

/**
 * Three voters and proposers that each append their mark to one register, with all orders and
 * losses of messages, tries again and crashes of voters: what was done for one must be seen by all
 * that is done after.
 */
public final class RegisterModel implements ModelChecker.Model {
  private static final String REGISTER = "r";
  private static final List<String> VOTERS = List.of("v0", "v1", "v2");

  private record Sent(int proposer, int voter, boolean toVoter, ConsensusMessage message) {}

  private final int proposers;
  private final boolean syncs;
  private final Voter[] voters = new Voter[VOTERS.size()];

  /** What a crash leaves of each. */
  private final List<Map<String, Voter.Slot>> synced = new ArrayList<>();

  private final Proposer[] machines;
  private final List<Sent> flying = new ArrayList<>();
  private final boolean[] begun;
  private final String[] done;

  /** By proposer, what was done before it began. */
  private final List<List<String>> before = new ArrayList<>();

  private int triesLeft;
  private int crashesLeft;

  /**
   * @param tries further tries in all, beside the first of each
   * @param crashes of voters, in all
   * @param syncs whether voters sync before they answer
   */
  public RegisterModel(int proposers, int tries, int crashes, boolean syncs) {
    this.proposers = proposers;
    this.triesLeft = tries;
    this.crashesLeft = crashes;
    this.syncs = syncs;
    this.machines = new Proposer[proposers];
    this.begun = new boolean[proposers];
    this.done = new String[proposers];
    for (int v = 0; v < voters.length; v++) {
      voters[v] = new Voter(Map.of(), 1);
      synced.add(Map.of());
    }
    for (int p = 0; p < proposers; p++) {
      before.add(null);
      machines[p] = proposer(p);
    }
  }

  private RegisterModel(RegisterModel o) {
    this(o.proposers, o.triesLeft, o.crashesLeft, o.syncs);
    flying.addAll(o.flying);
    for (int v = 0; v < voters.length; v++) {
      voters[v] = new Voter(o.voters[v].slots(), 1);
      synced.set(v, o.synced.get(v));
    }
    for (int p = 0; p < proposers; p++) {
      machines[p].copyStateFrom(o.machines[p], c -> c);
      begun[p] = o.begun[p];
      done[p] = o.done[p];
      before.set(p, o.before.get(p));
    }
  }

  @Override
  public RegisterModel copy() {
    return new RegisterModel(this);
  }

  private Proposer proposer(int self) {
    return new Proposer(
        "p" + self,
        VOTERS,
        1,
        () -> 0L,
        new Proposer.Outbox() {
          @Override
          public void send(String voter, ConsensusMessage m) {
            flying.add(new Sent(self, VOTERS.indexOf(voter), true, m));
          }

          @Override
          public void retry(long at) {
            // time does not pass here: a further try is a step of its own
          }

          @Override
          public void done(RegisterValue v) {
            done[self] = v.text();
          }
        });
  }

  /** Each message, each beginning, each further try, each crash. */
  @Override
  public int choiceCount() {
    return flying.size() + 2 * proposers + voters.length;
  }

  @Override
  public boolean takeStep(int choice) {
    boolean taken = step(choice);
    // Answers to tries that are over do nothing: without them there are fewer states.
    flying.removeIf(s -> !s.toVoter && !machines[s.proposer].awaits(s.message));
    return taken;
  }

  private boolean step(int choice) {
    int c = choice;
    if (c < flying.size()) {
      arrive(flying.remove(c));
      return true;
    }
    c -= flying.size();
    if (c < proposers) {
      if (begun[c] || c > 0 && !begun[c - 1]) { // in order, as they are alike
        return false;
      }
      begun[c] = true;
      List<String> sofar = new ArrayList<>();
      for (String d : done) {
        if (d != null) {
          sofar.add(d);
        }
      }
      before.set(c, sofar);
      String mark = Character.toString('a' + c);
      machines[c].submit(
          0, REGISTER, v -> v.text().contains(mark) ? v : v.withText(v.text() + mark), 1);
      return true;
    }
    c -= proposers;
    if (c < proposers) {
      if (!machines[c].isBusy() || triesLeft == 0) {
        return false;
      }
      triesLeft--;
      machines[c].onTimer(0);
      return true;
    }
    c -= proposers;
    if (crashesLeft == 0) {
      return false;
    }
    crashesLeft--;
    voters[c] = new Voter(synced.get(c), 1);
    return true;
  }

  private void arrive(Sent s) {
    if (!s.toVoter) {
      machines[s.proposer].receive(0, VOTERS.get(s.voter), s.message);
      return;
    }
    Map<String, Voter.Slot> was = new TreeMap<>(voters[s.voter].slots());
    Voter.VoteResult step = voters[s.voter].handle(s.message);
    // One that syncs first has its answer leave only then; one that does not may lose what it has
    // just answered.
    synced.set(s.voter, syncs ? new TreeMap<>(voters[s.voter].slots()) : was);
    if (step != null) {
      flying.add(new Sent(s.proposer, s.voter, false, step.answer()));
    }
  }

  @Override
  public String violation() {
    for (int a = 0; a < proposers; a++) {
      for (int b = 0; b < proposers; b++) {
        if (done[a] != null
            && done[b] != null
            && !done[a].startsWith(done[b])
            && !done[b].startsWith(done[a])) {
          return "done '" + done[a] + "' and '" + done[b] + "'";
        }
      }
      for (String d : done[a] == null ? List.<String>of() : before.get(a)) {
        if (!done[a].startsWith(d)) {
          return "'" + d + "' was done before '" + done[a] + "' began";
        }
      }
    }
    return null;
  }

  @Override
  public String stateText() {
    StringBuilder s = new StringBuilder().append(triesLeft).append(crashesLeft);
    for (int p = 0; p < proposers; p++) {
      s.append(machines[p].stateText()).append(done[p]).append(before.get(p));
    }
    String[] byVoter = new String[voters.length];
    for (int v = 0; v < voters.length; v++) {
      int voter = v;
      StringBuilder own =
          new StringBuilder()
              .append(voters[v].slots())
              .append(syncs ? "" : synced.get(v).toString());
      for (Proposer m : machines) {
        own.append(m.hasVoteOf(VOTERS.get(v)));
      }
      flying.stream()
          .filter(f -> f.voter == voter)
          .map(
              f ->
                  f.proposer
                      + (machines[f.proposer].isForCurrentPhase(f.message) ? "+" : "-")
                      + text(f.message))
          .sorted()
          .forEach(own::append);
      byVoter[v] = own.toString();
    }
    Arrays.sort(byVoter); // voters are alike: which of them it is makes no difference
    return s.append(String.join("|", byVoter)).toString();
  }

  /**
   * A message in few letters, but for its number, of which only matters whether it is of the try
   * that is on. (A record's own text takes as long as all else of a state.)
   */
  public static String text(ConsensusMessage m) {
    if (m instanceof ConsensusMessage.Read) {
      return "L";
    } else if (m instanceof ConsensusMessage.ReadResult l) {
      return "l" + l.accepted() + " " + l.value();
    } else if (m instanceof ConsensusMessage.Prepare p) {
      return "P" + p.ballot();
    } else if (m instanceof ConsensusMessage.Promised p) {
      return "p" + p.accepted() + " " + p.value();
    } else if (m instanceof ConsensusMessage.Accept a) {
      return "A" + a.ballot() + " " + a.value();
    } else if (m instanceof ConsensusMessage.Accepted) {
      return "a";
    }
    return m.toString();
  }
}
