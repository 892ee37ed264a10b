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

/** The agreement in all orders of a small case, and the guards of one voter. */
public class RegisterModelTest {
  private static final int MOST = 1_000_000;

  /** All orders and losses of the messages of two changes among three voters. */
  @Test
  public void whatWasDoneIsSeenByAllThatFollows() {
    ModelChecker e = new ModelChecker(new RegisterModel(2, 0, 0, true), MOST);
    assertNull(e.check());
    assertTrue("went through " + e.states(), e.states() > 20_000 && e.isExhaustive());
  }

  /** Guards the check: voters that answer first and lose that in a crash. */
  @Test
  public void votersThatAnswerBeforeTheirSyncAreCaught() {
    assertNotNull(new ModelChecker(new RegisterModel(2, 0, 1, false), MOST).check());
  }

  /**
   * Bounds of a voter's memory: a register too many and a text too long get no vote, the others
   * theirs.
   */
  @Test
  public void aVotersMemoryIsBounded() {
    Voter v = new Voter(Map.of(), 1);
    Ballot b = new Ballot(1, "p");
    assertNotNull(v.handle(new ConsensusMessage.Prepare(1, "r", b)));
    assertNull(v.handle(new ConsensusMessage.Prepare(1, "s", b)));
    assertNull(
        v.handle(
            new ConsensusMessage.Accept(
                1, "r", b, new RegisterValue(1, "x".repeat(RegisterValue.MAX_BYTES + 1)))));
    assertTrue(
        v.handle(new ConsensusMessage.Accept(1, "r", b, new RegisterValue(1, "x"))).answer()
            instanceof ConsensusMessage.Accepted);
    assertTrue(
        v.handle(new ConsensusMessage.Prepare(2, "r", b)).answer()
            instanceof ConsensusMessage.Refused);
  }

  /**
   * A read by looks alone is done where a majority has the same last, and goes through both phases
   * where not.
   */
  @Test
  public void aReadDisturbsNobodyWhereAMajorityAgrees() {
    List<ConsensusMessage> sent = new ArrayList<>();
    List<RegisterValue> done = new ArrayList<>();
    Proposer p =
        new Proposer(
            "p",
            List.of("v0", "v1", "v2"),
            1,
            new SplittableRandom(1),
            new Proposer.Outbox() {
              @Override
              public void send(String voter, ConsensusMessage m) {
                sent.add(m);
              }

              @Override
              public void retry(long at) {
                // not played here
              }

              @Override
              public void done(RegisterValue v) {
                done.add(v);
              }
            });
    Ballot b = new Ballot(3, "q");
    p.read(0, "r", 9);
    p.receive(0, "v0", new ConsensusMessage.ReadResult(1, b, new RegisterValue(2, "x")));
    p.receive(
        0,
        "v0",
        new ConsensusMessage.ReadResult(
            1, b, new RegisterValue(2, "x"))); // said twice, it counts once
    assertTrue(done.isEmpty());
    p.receive(0, "v2", new ConsensusMessage.ReadResult(1, b, new RegisterValue(2, "x")));
    assertTrue(done.get(0).text().equals("x") && sent.size() == 3);
    p.read(0, "r", 9);
    p.receive(0, "v0", new ConsensusMessage.ReadResult(2, b, new RegisterValue(2, "x")));
    p.receive(
        0, "v1", new ConsensusMessage.ReadResult(2, new Ballot(2, "q"), new RegisterValue(1, "w")));
    assertEquals("two differ: the third may agree with one of them", 6, sent.size());
    p.receive(0, "v2", new ConsensusMessage.ReadResult(2, new Ballot(1, "q"), RegisterValue.NONE));
    assertTrue(done.size() == 1 && sent.get(8) instanceof ConsensusMessage.Prepare);
  }
}
