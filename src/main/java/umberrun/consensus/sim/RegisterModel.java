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
 * Model of three voters and several proposers that each append a mark to one register, with all
 * orders and losses of messages, retries and crashes of voters. It checks that the result of a
 * completed change is seen by all changes that start later.
 */
public final class RegisterModel implements ModelChecker.Model {
  private static final String REGISTER = "r";
  private static final List<String> VOTERS = List.of("v0", "v1", "v2");

  private record InFlightMessage(
      int proposer, int voter, boolean toVoter, ConsensusMessage message) {}

  private final int proposerCount;
  private final boolean syncsBeforeResponse;
  private final Voter[] voters = new Voter[VOTERS.size()];

  /** The slots of each voter that survive a crash. */
  private final List<Map<String, Voter.Slot>> synced = new ArrayList<>();

  private final Proposer[] proposers;
  private final List<InFlightMessage> inFlight = new ArrayList<>();
  private final boolean[] started;

  /** By proposer, the text of the register when its change was complete, or null. */
  private final String[] results;

  /** By proposer, the results that were complete before it started. */
  private final List<List<String>> resultsBeforeStart = new ArrayList<>();

  private int retriesLeft;
  private int crashesLeft;

  /**
   * @param retries total number of retries, in addition to the first attempt of each proposer
   * @param crashes total number of crashes of voters
   * @param syncsBeforeResponse whether voters sync their slots before they respond
   */
  public RegisterModel(int proposerCount, int retries, int crashes, boolean syncsBeforeResponse) {
    this.proposerCount = proposerCount;
    this.retriesLeft = retries;
    this.crashesLeft = crashes;
    this.syncsBeforeResponse = syncsBeforeResponse;
    this.proposers = new Proposer[proposerCount];
    this.started = new boolean[proposerCount];
    this.results = new String[proposerCount];
    for (int v = 0; v < voters.length; v++) {
      voters[v] = new Voter(Map.of(), 1);
      synced.add(Map.of());
    }
    for (int p = 0; p < proposerCount; p++) {
      resultsBeforeStart.add(null);
      proposers[p] = newProposer(p);
    }
  }

  private RegisterModel(RegisterModel other) {
    this(other.proposerCount, other.retriesLeft, other.crashesLeft, other.syncsBeforeResponse);
    inFlight.addAll(other.inFlight);
    for (int v = 0; v < voters.length; v++) {
      voters[v] = new Voter(other.voters[v].slots(), 1);
      synced.set(v, other.synced.get(v));
    }
    for (int p = 0; p < proposerCount; p++) {
      proposers[p].copyStateFrom(other.proposers[p], change -> change);
      started[p] = other.started[p];
      results[p] = other.results[p];
      resultsBeforeStart.set(p, other.resultsBeforeStart.get(p));
    }
  }

  @Override
  public RegisterModel copy() {
    return new RegisterModel(this);
  }

  private Proposer newProposer(int proposerIndex) {
    return new Proposer(
        "p" + proposerIndex,
        VOTERS,
        1,
        () -> 0L,
        new Proposer.Outbox() {
          @Override
          public void send(String voter, ConsensusMessage message) {
            inFlight.add(new InFlightMessage(proposerIndex, VOTERS.indexOf(voter), true, message));
          }

          @Override
          public void startRetryTimer(long at) {
            // the model has no clock: a retry is a step of its own
          }

          @Override
          public void completed(RegisterValue value) {
            results[proposerIndex] = value.text();
          }
        });
  }

  /**
   * The choices are the delivery of each message, then the start of each proposer, its retry, and
   * the crash of each voter.
   */
  @Override
  public int choiceCount() {
    return inFlight.size() + 2 * proposerCount + voters.length;
  }

  @Override
  public boolean takeStep(int choice) {
    boolean taken = applyChoice(choice);
    // Responses to earlier attempts have no effect; removing them reduces the number of states.
    inFlight.removeIf(sent -> !sent.toVoter && !proposers[sent.proposer].awaits(sent.message));
    return taken;
  }

  private boolean applyChoice(int choice) {
    int index = choice;
    if (index < inFlight.size()) {
      deliver(inFlight.remove(index));
      return true;
    }
    index -= inFlight.size();
    if (index < proposerCount) {
      // Proposers are alike, so it is enough to start them in order.
      if (started[index] || index > 0 && !started[index - 1]) {
        return false;
      }
      started[index] = true;
      List<String> earlierResults = new ArrayList<>();
      for (String earlier : results) {
        if (earlier != null) {
          earlierResults.add(earlier);
        }
      }
      resultsBeforeStart.set(index, earlierResults);
      String mark = Character.toString('a' + index);
      proposers[index].submit(
          0,
          REGISTER,
          value -> value.text().contains(mark) ? value : value.withText(value.text() + mark),
          1);
      return true;
    }
    index -= proposerCount;
    if (index < proposerCount) {
      if (!proposers[index].isBusy() || retriesLeft == 0) {
        return false;
      }
      retriesLeft--;
      proposers[index].onTimer(0);
      return true;
    }
    index -= proposerCount;
    if (crashesLeft == 0) {
      return false;
    }
    crashesLeft--;
    voters[index] = new Voter(synced.get(index), 1);
    return true;
  }

  private void deliver(InFlightMessage sent) {
    if (!sent.toVoter) {
      proposers[sent.proposer].receive(0, VOTERS.get(sent.voter), sent.message);
      return;
    }
    Map<String, Voter.Slot> slotsBefore = new TreeMap<>(voters[sent.voter].slots());
    Voter.VoteResult result = voters[sent.voter].handle(sent.message);
    // A voter that syncs first responds only afterwards. One that does not may lose its last change
    // in a crash, although it has responded.
    synced.set(
        sent.voter, syncsBeforeResponse ? new TreeMap<>(voters[sent.voter].slots()) : slotsBefore);
    if (result != null) {
      inFlight.add(new InFlightMessage(sent.proposer, sent.voter, false, result.answer()));
    }
  }

  @Override
  public String violation() {
    for (int a = 0; a < proposerCount; a++) {
      for (int b = 0; b < proposerCount; b++) {
        if (results[a] != null
            && results[b] != null
            && !results[a].startsWith(results[b])
            && !results[b].startsWith(results[a])) {
          return "completed with '" + results[a] + "' and '" + results[b] + "'";
        }
      }
      for (String earlier : results[a] == null ? List.<String>of() : resultsBeforeStart.get(a)) {
        if (!results[a].startsWith(earlier)) {
          return "'" + earlier + "' was complete before '" + results[a] + "' was started";
        }
      }
    }
    return null;
  }

  @Override
  public String stateText() {
    StringBuilder text = new StringBuilder().append(retriesLeft).append(crashesLeft);
    for (int p = 0; p < proposerCount; p++) {
      text.append(proposers[p].stateText()).append(results[p]).append(resultsBeforeStart.get(p));
    }
    String[] byVoter = new String[voters.length];
    for (int v = 0; v < voters.length; v++) {
      int voter = v;
      StringBuilder own =
          new StringBuilder()
              .append(voters[v].slots())
              .append(syncsBeforeResponse ? "" : synced.get(v).toString());
      for (Proposer proposer : proposers) {
        own.append(proposer.hasVoteOf(VOTERS.get(v)));
      }
      inFlight.stream()
          .filter(sent -> sent.voter == voter)
          .map(
              sent ->
                  sent.proposer
                      + (proposers[sent.proposer].isForCurrentPhase(sent.message) ? "+" : "-")
                      + text(sent.message))
          .sorted()
          .forEach(own::append);
      byVoter[v] = own.toString();
    }
    Arrays.sort(byVoter); // voters are alike, so states that differ in their order only are equal
    return text.append(String.join("|", byVoter)).toString();
  }

  /**
   * A short text of a message without its attempt number, as it only matters whether it belongs to
   * the current attempt. (Building the text of a record would take as long as the rest of a state.)
   */
  public static String text(ConsensusMessage message) {
    if (message instanceof ConsensusMessage.Read) {
      return "L";
    } else if (message instanceof ConsensusMessage.ReadResult result) {
      return "l" + result.accepted() + " " + result.value();
    } else if (message instanceof ConsensusMessage.Prepare prepare) {
      return "P" + prepare.ballot();
    } else if (message instanceof ConsensusMessage.Promised promised) {
      return "p" + promised.accepted() + " " + promised.value();
    } else if (message instanceof ConsensusMessage.Accept accept) {
      return "A" + accept.ballot() + " " + accept.value();
    } else if (message instanceof ConsensusMessage.Accepted) {
      return "a";
    }
    return message.toString();
  }
}
