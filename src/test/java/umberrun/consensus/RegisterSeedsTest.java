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
 * Simulates registers while voters are replaced, killed, lose their stores and are cut off, and
 * checks that the simulation detects faulty implementations.
 */
public class RegisterSeedsTest {
  private static final long SECOND = 1_000_000;
  private static final Factory CORRECT = new Factory() {};

  private int completed;
  private int replaced;

  /** Runs one seed; returns what went wrong, or null. */
  private String runSeed(long seed, Factory factory) {
    SplittableRandom random = new SplittableRandom(seed);
    RegisterSimulation simulation = new RegisterSimulation(5, 3, random.nextLong(), factory);
    try {
      for (int i = 0; i < 14; i++) {
        injectFault(simulation, random);
        simulation.run(random.nextLong(2 * SECOND));
      }
      simulation.net().healAll();
      simulation.net().setLinks(0, 0.02, 200, 5_000);
      for (int i = 0; i < simulation.hostCount(); i++) {
        simulation.net().resume(i);
      }
      simulation.run(3 * SECOND);
      int completedBefore = simulation.completedCount();
      simulation.run(6 * SECOND);
      completed += simulation.completedCount();
      replaced += simulation.replacementCount();
      return simulation.completedCount() > completedBefore
          ? null
          : "seed " + seed + ": nothing is completed on a healthy network\n" + simulation;
    } catch (RegisterSimulation.InvariantViolation e) {
      return "seed " + seed + ": " + e.getMessage();
    }
  }

  /**
   * Draws one event: a replacement, a crash, a lost store, a pause, a cut or other link properties.
   */
  private static void injectFault(RegisterSimulation simulation, SplittableRandom random) {
    int host = random.nextInt(simulation.hostCount());
    int otherHost = random.nextInt(simulation.hostCount());
    long endTime = simulation.net().now() + random.nextLong(3 * SECOND);
    switch (random.nextInt(8)) {
      case 0, 1, 2 ->
          simulation.replace(
              random.nextInt(simulation.hostCount()),
              host,
              simulation.votingHosts().get(random.nextInt(simulation.votingHosts().size())));
      case 3 -> simulation.crash(host, false);
      // Loses one store at a time, as the loss of a majority of them cannot be survived.
      case 4 -> {
        if (simulation.lostStoreCount() == 0 && simulation.isSettled()) {
          simulation.crash(host, true);
          simulation.replace(otherHost, host, host);
        }
      }
      case 5 -> {
        simulation.net().pause(host);
        simulation.net().at(endTime, () -> simulation.net().resume(host));
      }
      case 6 -> {
        for (int i = 0; i < simulation.hostCount(); i++) {
          if (i != host) {
            simulation.net().cut(host, i);
            if (random.nextBoolean()) {
              simulation.net().cut(i, host);
            }
          }
        }
        simulation.net().at(endTime, simulation.net()::healAll);
      }
      default ->
          simulation
              .net()
              .setLinks(0.2 * random.nextDouble(), 0.1, 200, 5_000 + random.nextLong(SECOND / 4));
    }
  }

  /** The first violation in this number of seeds, or null. A lack of progress does not count. */
  private String firstViolation(int seeds, Factory factory) {
    for (long seed = 1; seed <= seeds; seed++) {
      String violation = runSeed(seed, factory);
      if (violation != null && !violation.contains("nothing")) {
        return violation;
      }
    }
    return null;
  }

  @Test
  public void completedChangesAreSeenWhileVotersAreReplaced() {
    for (long seed = 1; seed <= 400; seed++) {
      assertNull(runSeed(seed, CORRECT));
    }
    assertTrue(
        completed + " completed, " + replaced + " replaced",
        completed > 400 * 30 && replaced > 400 / 2);
  }

  /** A replacement that skips the transitional set: majorities of the two sets need not overlap. */
  @Test
  public void replacingInOneStepIsDetected() {
    assertNotNull(
        firstViolation(
            4_000,
            new Factory() {
              @Override
              public VoterReplacement newReplacement(
                  VoterSet known,
                  String newcomer,
                  String leaver,
                  long deadline,
                  VoterReplacement.Outbox out) {
                return new VoterReplacement(known, newcomer, leaver, deadline, out) {
                  @Override
                  protected VoterSet nextVoterSet() {
                    VoterSet transitional = super.nextVoterSet();
                    VoterSet after = transitional.withoutLeaving();
                    return new VoterSet(
                        transitional.epoch(), after.keys(), "", transitional.former());
                  }
                };
              }
            }));
  }

  /**
   * A replacement that removes a voter without first copying the registers, some values of which it
   * alone may hold.
   */
  @Test
  public void notCopyingRegistersIsDetected() {
    assertNotNull(
        firstViolation(
            4_000,
            new Factory() {
              @Override
              public VoterReplacement newReplacement(
                  VoterSet known,
                  String newcomer,
                  String leaver,
                  long deadline,
                  VoterReplacement.Outbox out) {
                return new VoterReplacement(known, newcomer, leaver, deadline, out) {
                  @Override
                  protected boolean copiesRegisters() {
                    return false;
                  }
                };
              }
            }));
  }

  /** Voters that answer requests of replaced sets. */
  @Test
  public void answeringOutdatedRequestsIsDetected() {
    assertNotNull(
        firstViolation(
            4_000,
            new Factory() {
              @Override
              public EpochVoter newVoter(Map<String, Voter.Slot> stored) {
                return new EpochVoter(stored, 16) {
                  @Override
                  protected boolean isOutdated(long epoch) {
                    return false;
                  }

                  @Override
                  public Voter.VoteResult handle(long epoch, ConsensusMessage request) {
                    return super.handle(
                        request instanceof ConsensusMessage.Install ? epoch : voters().epoch(),
                        request);
                  }
                };
              }
            }));
  }
}
