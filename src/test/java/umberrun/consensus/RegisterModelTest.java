package umberrun.consensus;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.Test;
import umberrun.consensus.sim.RegisterModel;
import umberrun.sim.ModelChecker;

/**
 * Checks the consensus protocol in all message orders of a small model, and the limits of a voter.
 */
public class RegisterModelTest {
  private static final int MAX_STATES = 1_000_000;

  /** All orders and losses of the messages of two changes with three voters. */
  @Test
  public void completedChangesAreSeenByLaterOnes() {
    ModelChecker checker = new ModelChecker(new RegisterModel(2, 0, 0, true), MAX_STATES);
    assertNull(checker.check());
    assertTrue("states: " + checker.states(), checker.states() > 20_000 && checker.isExhaustive());
  }

  /** The model detects voters that respond before they sync, and so lose changes in a crash. */
  @Test
  public void respondingBeforeSyncIsDetected() {
    assertNotNull(new ModelChecker(new RegisterModel(2, 0, 1, false), MAX_STATES).check());
  }

  /**
   * A request for one register too many or with too long a text gets no response; others still do.
   */
  @Test
  public void slotsOfAVoterAreBounded() {
    Voter voter = new Voter(Map.of(), 1);
    Ballot ballot = new Ballot(1, "p");
    assertNotNull(voter.handle(new ConsensusMessage.Prepare(1, "r", ballot)));
    assertNull(voter.handle(new ConsensusMessage.Prepare(1, "s", ballot)));
    assertNull(
        voter.handle(
            new ConsensusMessage.Accept(
                1, "r", ballot, new RegisterValue(1, "x".repeat(RegisterValue.MAX_BYTES + 1)))));
    assertTrue(
        voter
                .handle(new ConsensusMessage.Accept(1, "r", ballot, new RegisterValue(1, "x")))
                .answer()
            instanceof ConsensusMessage.Accepted);
    assertTrue(
        voter.handle(new ConsensusMessage.Prepare(2, "r", ballot)).answer()
            instanceof ConsensusMessage.Refused);
  }

  /**
   * A read ends without a prepare if a majority reports the same ballot, and goes through both
   * phases otherwise.
   */
  @Test
  public void readSendsNoPrepareIfAMajorityAgrees() {
    List<ConsensusMessage> sent = new ArrayList<>();
    List<RegisterValue> results = new ArrayList<>();
    Proposer proposer =
        new Proposer(
            "p",
            List.of("v0", "v1", "v2"),
            1,
            new SplittableRandom(1),
            new Proposer.Outbox() {
              @Override
              public void send(String voter, ConsensusMessage message) {
                sent.add(message);
              }

              @Override
              public void startRetryTimer(long at) {
                // no timer is needed here
              }

              @Override
              public void completed(RegisterValue value) {
                results.add(value);
              }
            });
    Ballot ballot = new Ballot(3, "q");
    proposer.read(0, "r", 9);
    proposer.receive(
        0, "v0", new ConsensusMessage.ReadResult(1, ballot, new RegisterValue(2, "x")));
    proposer.receive(
        0, "v0", new ConsensusMessage.ReadResult(1, ballot, new RegisterValue(2, "x")));
    assertTrue("a repeated response counts once", results.isEmpty());
    proposer.receive(
        0, "v2", new ConsensusMessage.ReadResult(1, ballot, new RegisterValue(2, "x")));
    assertTrue(results.get(0).text().equals("x") && sent.size() == 3);
    proposer.read(0, "r", 9);
    proposer.receive(
        0, "v0", new ConsensusMessage.ReadResult(2, ballot, new RegisterValue(2, "x")));
    proposer.receive(
        0, "v1", new ConsensusMessage.ReadResult(2, new Ballot(2, "q"), new RegisterValue(1, "w")));
    assertEquals("waits for the third voter, which may agree with one of the two", 6, sent.size());
    proposer.receive(
        0, "v2", new ConsensusMessage.ReadResult(2, new Ballot(1, "q"), RegisterValue.NONE));
    assertTrue(results.size() == 1 && sent.get(8) instanceof ConsensusMessage.Prepare);
  }
}
