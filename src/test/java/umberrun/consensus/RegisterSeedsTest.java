package umberrun.consensus;

import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.Map;
import java.util.SplittableRandom;
import org.junit.Test;
import umberrun.consensus.sim.RegisterSimulation;
import umberrun.consensus.sim.RegisterSimulation.Factory;

/**
 * Registers while voters are replaced, killed, lose their folders and are cut off, and variants
 * that must be caught.
 */
public class RegisterSeedsTest {
  private static final long SECOND = 1_000_000;
  private static final Factory SOUND = new Factory() {};

  private int done;
  private int replaced;

  private String play(long seed, Factory maker) {
    SplittableRandom random = new SplittableRandom(seed);
    RegisterSimulation t = new RegisterSimulation(5, 3, random.nextLong(), maker);
    try {
      for (int i = 0; i < 14; i++) {
        draw(t, random);
        t.run(random.nextLong(2 * SECOND));
      }
      t.net().healAll();
      t.net().setLinks(0, 0.02, 200, 5_000);
      for (int i = 0; i < t.hostCount(); i++) {
        t.net().resume(i);
      }
      t.run(3 * SECOND);
      int before = t.done();
      t.run(6 * SECOND);
      done += t.done();
      replaced += t.replaced();
      return t.done() > before ? null : "seed " + seed + ": nothing is done in fair times\n" + t;
    } catch (RegisterSimulation.InvariantViolation e) {
      return "seed " + seed + ": " + e.getMessage();
    }
  }

  private static void draw(RegisterSimulation t, SplittableRandom random) {
    int a = random.nextInt(t.hostCount());
    int b = random.nextInt(t.hostCount());
    long later = t.net().now() + random.nextLong(3 * SECOND);
    switch (random.nextInt(8)) {
      case 0, 1, 2 ->
          t.replace(
              random.nextInt(t.hostCount()), a, t.voting().get(random.nextInt(t.voting().size())));
      case 3 -> t.crash(a, false);
      case 4 -> { // a folder is lost: one at a time, as a majority of them would be the end
        if (t.lost() == 0 && t.isSettled()) {
          t.crash(a, true);
          t.replace(b, a, a);
        }
      }
      case 5 -> {
        t.net().pause(a);
        t.net().at(later, () -> t.net().resume(a));
      }
      case 6 -> {
        for (int i = 0; i < t.hostCount(); i++) {
          if (i != a) {
            t.net().cut(a, i);
            if (random.nextBoolean()) {
              t.net().cut(i, a);
            }
          }
        }
        t.net().at(later, t.net()::healAll);
      }
      default ->
          t.net()
              .setLinks(0.2 * random.nextDouble(), 0.1, 200, 5_000 + random.nextLong(SECOND / 4));
    }
  }

  private String firstBroken(int seeds, Factory maker) {
    for (long seed = 1; seed <= seeds; seed++) {
      String broken = play(seed, maker);
      if (broken != null && !broken.contains("nothing")) {
        return broken;
      }
    }
    return null;
  }

  @Test
  public void whatWasDoneIsSeenWhoeverVotes() {
    for (long seed = 1; seed <= 400; seed++) {
      assertNull(play(seed, SOUND));
    }
    assertTrue(done + " done, " + replaced + " replaced", done > 400 * 30 && replaced > 400 / 2);
  }

  /**
   * Guards the checks: a set that follows at once, whose majorities do not meet those of the one
   * before.
   */
  @Test
  public void swappingTwoAtOnceIsCaught() {
    assertNotNull(
        firstBroken(
            4_000,
            new Factory() {
              @Override
              public VoterReplacement succession(
                  VoterSet known,
                  String comes,
                  String leaves,
                  long until,
                  VoterReplacement.Outbox out) {
                return new VoterReplacement(known, comes, leaves, until, out) {
                  @Override
                  protected VoterSet nextVoterSet() {
                    VoterSet both = super.nextVoterSet();
                    VoterSet after = both.withoutLeaving();
                    return new VoterSet(both.epoch(), after.keys(), "", both.former());
                  }
                };
              }
            }));
  }

  /** Guards the checks: one that lets a voter go before what it alone may hold is carried over. */
  @Test
  public void notCarryingOverIsCaught() {
    assertNotNull(
        firstBroken(
            4_000,
            new Factory() {
              @Override
              public VoterReplacement succession(
                  VoterSet known,
                  String comes,
                  String leaves,
                  long until,
                  VoterReplacement.Outbox out) {
                return new VoterReplacement(known, comes, leaves, until, out) {
                  @Override
                  protected boolean copiesRegisters() {
                    return false;
                  }
                };
              }
            }));
  }

  /** Guards the checks: voters that answer questions of sets that were replaced. */
  @Test
  public void answeringOldSetsIsCaught() {
    assertNotNull(
        firstBroken(
            4_000,
            new Factory() {
              @Override
              public EpochVoter seat(Map<String, Voter.Slot> synced) {
                return new EpochVoter(synced, 16) {
                  @Override
                  protected boolean isOutdated(long epoch) {
                    return false;
                  }

                  @Override
                  public Voter.VoteResult handle(long epoch, ConsensusMessage m) {
                    return super.handle(
                        m instanceof ConsensusMessage.Install ? epoch : voters().epoch(), m);
                  }
                };
              }
            }));
  }
}
