package umberrun.agreement;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.Test;
import umberrun.agreement.sim.RegisterWorld;
import umberrun.sim.Explorer;

/** The agreement in all orders of a small case, and the guards of one voter. */
public class RegisterWorldTest {
  private static final int MOST = 1_000_000;

  /** All orders and losses of the messages of two changes among three voters. */
  @Test
  public void whatWasDoneIsSeenByAllThatFollows() {
    Explorer e = new Explorer(new RegisterWorld(2, 0, 0, true), MOST);
    assertNull(e.explore());
    assertTrue("went through " + e.states(), e.states() > 20_000 && e.isThrough());
  }

  /** Guards the check: voters that answer first and lose that in a crash. */
  @Test
  public void votersThatAnswerBeforeTheirSyncAreCaught() {
    assertNotNull(new Explorer(new RegisterWorld(2, 0, 1, false), MOST).explore());
  }

  /**
   * Bounds of a voter's memory: a register too many and a text too long get no vote, the others
   * theirs.
   */
  @Test
  public void aVotersMemoryIsBounded() {
    Voter v = new Voter(Map.of(), 1);
    Ballot b = new Ballot(1, "p");
    assertNotNull(v.handle(new Message.Prepare(1, "r", b)));
    assertNull(v.handle(new Message.Prepare(1, "s", b)));
    assertNull(
        v.handle(new Message.Accept(1, "r", b, new Value(1, "x".repeat(Value.MOST_BYTES + 1)))));
    assertTrue(
        v.handle(new Message.Accept(1, "r", b, new Value(1, "x"))).answer()
            instanceof Message.Accepted);
    assertTrue(v.handle(new Message.Prepare(2, "r", b)).answer() instanceof Message.Refused);
  }

  /**
   * A read by looks alone is done where a majority has the same last, and goes through both phases
   * where not.
   */
  @Test
  public void aReadDisturbsNobodyWhereAMajorityAgrees() {
    List<Message> sent = new ArrayList<>();
    List<Value> done = new ArrayList<>();
    Proposer p =
        new Proposer(
            "p",
            List.of("v0", "v1", "v2"),
            1,
            new SplittableRandom(1),
            new Proposer.Outbox() {
              @Override
              public void send(String voter, Message m) {
                sent.add(m);
              }

              @Override
              public void retry(long at) {
                // not played here
              }

              @Override
              public void done(Value v) {
                done.add(v);
              }
            });
    Ballot b = new Ballot(3, "q");
    p.read(0, "r", 9);
    p.receive(0, "v0", new Message.Looked(1, b, new Value(2, "x")));
    p.receive(0, "v0", new Message.Looked(1, b, new Value(2, "x"))); // said twice, it counts once
    assertTrue(done.isEmpty());
    p.receive(0, "v2", new Message.Looked(1, b, new Value(2, "x")));
    assertTrue(done.get(0).text().equals("x") && sent.size() == 3);
    p.read(0, "r", 9);
    p.receive(0, "v0", new Message.Looked(2, b, new Value(2, "x")));
    p.receive(0, "v1", new Message.Looked(2, new Ballot(2, "q"), new Value(1, "w")));
    assertEquals("two differ: the third may agree with one of them", 6, sent.size());
    p.receive(0, "v2", new Message.Looked(2, new Ballot(1, "q"), Value.NONE));
    assertTrue(done.size() == 1 && sent.get(8) instanceof Message.Prepare);
  }
}
