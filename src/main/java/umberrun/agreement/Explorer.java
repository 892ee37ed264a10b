package umberrun.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Goes through all orders in which messages may arrive, or not, between three voters and proposers that each append their mark to
 * one register, with tries again and crashes of voters, and checks each state: what was done for one must be seen by
 * all that is done after. A state is reached by playing its steps from the start, so that the machines need no copies.
 */
public final class Explorer {
  private static final String REGISTER = "r";
  private static final List<String> VOTERS = List.of("v0", "v1", "v2");

  private record Sent(int proposer, int voter, boolean toVoter, Message message) { }

  /** One course of things. */
  private final class World {
    final Voter[] voters = new Voter[VOTERS.size()];
    /** What a crash leaves of each. */
    final List<Map<String, Voter.Slot>> synced = new ArrayList<>();
    final Proposer[] machines = new Proposer[proposers];
    final List<Sent> flying = new ArrayList<>();
    final boolean[] begun = new boolean[proposers];
    final String[] done = new String[proposers];
    /** By proposer, what was done before it began. */
    final List<List<String>> before = new ArrayList<>();
    int triesLeft = tries;
    int crashesLeft = crashes;

    World() {
      for (int v = 0; v < voters.length; v++) {
        voters[v] = new Voter(Map.of(), 1);
        synced.add(Map.of());
      }
      for (int p = 0; p < proposers; p++) {
        int self = p;
        before.add(null);
        machines[p] = new Proposer("p" + p, VOTERS, 1, new SplittableRandom(1), new Proposer.Outbox() {
          @Override
          public void send(String voter, Message m) {
            flying.add(new Sent(self, VOTERS.indexOf(voter), true, m));
          }

          @Override
          public void retry(long at) {
            // time does not pass here: a further try is a step of its own
          }

          @Override
          public void done(Value v) {
            done[self] = v.text();
          }
        });
      }
    }

    /** How many steps are possible: each message, each beginning, each further try, each crash. */
    int choices() {
      return flying.size() + 2 * proposers + voters.length;
    }

    /** Takes a step; false where it is not possible now. */
    boolean take(int choice) {
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
        machines[c].submit(0, REGISTER, v -> v.text().contains(mark) ? v : v.next(v.text() + mark), 1);
        return true;
      }
      c -= proposers;
      if (c < proposers) {
        if (!machines[c].isBusy() || triesLeft == 0) {
          return false;
        }
        triesLeft--;
        machines[c].due(0);
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
      Voter.Step step = voters[s.voter].handle(s.message);
      // One that syncs first has its answer leave only then; one that does not may lose what it has just answered.
      synced.set(s.voter, syncs ? new TreeMap<>(voters[s.voter].slots()) : was);
      if (step != null) {
        flying.add(new Sent(s.proposer, s.voter, false, step.answer()));
      }
    }

    /** Answers to tries that are over do nothing: without them there are fewer states. */
    void forget() {
      flying.removeIf(s -> !s.toVoter && !machines[s.proposer].awaits(s.message));
    }

    /** What is wrong, or null. */
    String wrong() {
      for (int a = 0; a < proposers; a++) {
        for (int b = 0; b < proposers; b++) {
          if (done[a] != null && done[b] != null && !done[a].startsWith(done[b]) && !done[b].startsWith(done[a])) {
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

    String state() {
      StringBuilder s = new StringBuilder().append(triesLeft).append(crashesLeft);
      for (int v = 0; v < voters.length; v++) {
        s.append(voters[v].slots()).append(syncs ? "" : synced.get(v).toString());
      }
      for (int p = 0; p < proposers; p++) {
        s.append(machines[p].state()).append(done[p]).append(before.get(p));
      }
      flying.stream().map(Sent::toString).sorted().forEach(s::append);
      return s.toString();
    }
  }

  private final int proposers;
  private final int tries;
  private final int crashes;
  private final boolean syncs;
  private int states;

  /**
   * @param tries further tries in all, beside the first of each
   * @param crashes of voters, in all
   * @param syncs whether voters sync before they answer
   */
  public Explorer(int proposers, int tries, int crashes, boolean syncs) {
    this.proposers = proposers;
    this.tries = tries;
    this.crashes = crashes;
    this.syncs = syncs;
  }

  /** States met by the last {@link #explore}. */
  public int states() {
    return states;
  }

  /** What is wrong in some state and the steps that lead there, or null where nothing is in {@code most} states, or in all. */
  public String explore(int most) {
    Set<Long> met = new HashSet<>();
    Deque<byte[]> open = new ArrayDeque<>();
    open.add(new byte[0]);
    states = 0;
    while (!open.isEmpty() && states < most) {
      byte[] path = open.pollLast(); // the deepest first: what goes wrong does so late
      int choices = play(path).choices();
      for (int c = choices - 1; c >= 0; c--) {
        World w = play(path);
        if (!w.take(c)) {
          continue;
        }
        w.forget();
        if (!met.add(hash(w.state()))) {
          continue;
        }
        states++;
        byte[] further = java.util.Arrays.copyOf(path, path.length + 1);
        further[path.length] = (byte) c;
        String wrong = w.wrong();
        if (wrong != null) {
          return wrong + " by steps " + java.util.Arrays.toString(further);
        }
        open.add(further);
      }
    }
    return null;
  }

  private World play(byte[] path) {
    World w = new World();
    for (byte c : path) {
      w.take(c);
      w.forget();
    }
    return w;
  }

  /** Of 64 bits: among a million states two share one with a chance of one in forty million. */
  private static long hash(String s) {
    long h = 0xcbf29ce484222325L;
    for (int i = 0; i < s.length(); i++) {
      h = (h ^ s.charAt(i)) * 0x100000001b3L;
    }
    return h ^ h >>> 29;
  }
}
