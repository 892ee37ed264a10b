package umberrun;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.Test;
import umberrun.config.Config;
import umberrun.config.Config.InvalidConfig;
import umberrun.consensus.ConsensusMessage;
import umberrun.consensus.VoterBootstrap;
import umberrun.consensus.VoterSet;
import umberrun.lease.CandidateRanking;
import umberrun.lease.CandidateRanking.Candidate;
import umberrun.lease.FenceRegistry;
import umberrun.lease.HallHealthMonitor;

/** Lease settings, candidate ranking, fences, worker health and the bootstrap of voters. */
public class LeaseScenariosTest {
  private static final String FLEET = "\"fleet\":{\"name\":\"yard\",\"listen\":\"127.0.0.1:1\"}";

  /** Each invalid setting is refused with one line that names it. */
  @Test
  public void badSettingsAreNamed() throws Exception {
    String threeVoters = "\"voters\":[\"b0\",\"b1\",\"b2\"]";
    for (Map.Entry<String, String> bad :
        Map.of(
                "{}",
                "leases.voters",
                "{\"voters\":[]}",
                "3 or 5",
                "{\"voters\":[\"a\",\"b\"]}",
                "3 or 5",
                "{\"voters\":[\"a\",\"b\",\"b\"]}",
                "each once",
                "{\"voters\":[\"a\",\"b\",\"c#\"]}",
                "c#",
                "{" + threeVoters + "}",
                "leases.state_dir",
                "{" + threeVoters + ",\"state_dir\":\"/tmp/x\",\"length_ms\":300}",
                "leases.length_ms",
                "{" + threeVoters + ",\"state_dir\":\"/tmp/x\",\"rate\":0.5}",
                "leases.rate",
                "{" + threeVoters + ",\"state_dir\":\"/tmp/x\",\"probe_ms\":5}",
                "leases.probe_ms",
                "{" + threeVoters + ",\"state_dir\":\"/tmp/x\",\"lenght_ms\":3000}",
                "leases.lenght_ms")
            .entrySet()) {
      assertTrue(
          bad.getKey(), refusalOf(FLEET + ",\"leases\":" + bad.getKey()).contains(bad.getValue()));
    }
    assertTrue(refusalOf("\"leases\":{" + threeVoters + "}").contains("fleet"));
  }

  /** The message with which a file of these sections is refused. */
  private static String refusalOf(String sections) throws Exception {
    Path file = Files.writeString(Files.createTempFile("operator", ".json"), "{" + sections + "}");
    Path config =
        Files.writeString(
            Files.createTempFile("config", ".json"),
            "{\"name\":\"b0\",\"listen\":\"127.0.0.1:0\","
                + "\"changelog\":\"127.0.0.1:1\",\"settings\":"
                + Scenario.SETTINGS
                + "}");
    InvalidConfig refusal =
        assertThrows(
            InvalidConfig.class,
            () ->
                Config.read(
                    Map.of(
                        "EDGE_CONFIG", config.toString(), "UMBERRUN_OPERATOR", file.toString())));
    assertFalse(refusal.getMessage(), refusal.getMessage().contains("\n"));
    return refusal.getMessage();
  }

  /**
   * The duty's hall comes before others, few duties before many, and the ineligible never; the
   * order of the input does not matter.
   */
  @Test
  public void candidatesTakeTurns() {
    List<Candidate> all =
        new ArrayList<>(
            List.of(
                new Candidate("a", "x", true, 0),
                new Candidate("b", "y", true, 2),
                new Candidate("c", "y", true, 1),
                new Candidate("d", "y", false, 0),
                new Candidate("e", "z", true, 0)));
    assertEquals(0, CandidateRanking.rank("probe/y", "y", "c", all));
    assertEquals(1, CandidateRanking.rank("probe/y", "y", "b", all));
    assertEquals("not eligible", all.size(), CandidateRanking.rank("probe/y", "y", "d", all));
    List<Integer> ranks =
        all.stream().map(c -> CandidateRanking.rank("beacon", "", c.name(), all)).sorted().toList();
    assertEquals(List.of(0, 1, 2, 3, 5), ranks);
    java.util.Collections.shuffle(all, new java.util.Random(5));
    assertEquals(0, CandidateRanking.rank("probe/y", "y", "c", all));
  }

  /**
   * Before the register has been read no act is accepted; afterwards none whose fence is lower than
   * that of an accepted act or that of the register.
   */
  @Test
  public void oldActsAreRefusedAlsoAfterARestart() {
    FenceRegistry fences = new FenceRegistry();
    assertFalse(fences.accept("d", 7));
    fences.observe("d", 5);
    assertFalse(fences.accept("d", 4));
    assertTrue(fences.accept("d", 7));
    // A delayed answer to an earlier read.
    fences.observe("d", 6);
    assertFalse(fences.accept("d", 6));
    assertTrue(fences.accept("d", 7));
  }

  /**
   * Two probes in a row without an answer make a worker failing, and one answer ends that. A worker
   * that is no longer listed is forgotten.
   */
  @Test
  public void aHallIsJudgedByAnswers() {
    HallHealthMonitor monitor = new HallHealthMonitor(100);
    List<String> names = List.of("a", "b", "c", "d");
    long now = 1_000;
    for (int round = 0; round < 6; round++, now += 100) {
      for (long t = now; t < now + 100; t += 10) {
        for (String n : monitor.workersToProbe(t, names)) {
          monitor.recordProbe(n, n.equals("c") ? 30_000 : 2_500, !n.equals("b"));
        }
      }
    }
    Map<String, HallHealthMonitor.HealthReading> readings = new java.util.TreeMap<>();
    monitor.changes().forEach(r -> readings.put(r.worker(), r));
    assertEquals(java.util.Set.of("b", "c"), readings.keySet());
    assertEquals(1, readings.get("b").failureRate(), 0);
    assertTrue(
        readings.get("c").toString(),
        readings.get("c").latencyRatio() > 3 && readings.get("c").failureRate() == 0);
    assertEquals(1, monitor.failingCount());
    for (String n : monitor.workersToProbe(now + 100, names)) {
      monitor.recordProbe(n, 2_500, true);
    }
    assertTrue(
        monitor.changes().stream().anyMatch(r -> r.worker().equals("b") && r.failureRate() == 0));
    monitor.workersToProbe(now + 200, List.of("a"));
    monitor.recordProbe("b", 1, true);
    assertEquals(List.of(), monitor.changes());
  }

  /**
   * A bootstrap needs an answer of all voters, and fails if one of them knows other voters already
   * or has others configured.
   */
  @Test
  public void aFoundingNeedsAllOfThem() {
    for (String fault : List.of("", "its file names other voters", "voted")) {
      List<String> results = new ArrayList<>();
      VoterBootstrap[] bootstrap = new VoterBootstrap[1];
      bootstrap[0] =
          new VoterBootstrap(
              List.of("c", "a", "b"),
              1_000_000,
              new VoterBootstrap.Outbox() {
                @Override
                public void send(String to, ConsensusMessage message) {
                  answers.add(
                      () ->
                          bootstrap[0].receive(
                              1,
                              to,
                              message instanceof ConsensusMessage.VoterQuery query
                                  ? new ConsensusMessage.VoterDescription(
                                      message.op(),
                                      query.createStore() ? to + "#1" : "",
                                      to.equals("b") && fault.equals("voted")
                                          ? VoterSet.first(List.of("b#9"))
                                          : VoterSet.UNKNOWN,
                                      to.equals("b") && !fault.equals("voted") ? fault : "")
                                  : new ConsensusMessage.Installed(message.op())));
                }

                @Override
                public void startTimer(long at) {
                  // Every message is answered, so no timer is needed.
                }

                @Override
                public void completed(VoterSet voters, String reason) {
                  results.add(voters == null ? reason : voters.text());
                }

                private final List<Runnable> answers = queue;
              });
      queue.clear();
      bootstrap[0].start(0);
      while (!queue.isEmpty()) {
        queue.remove(0).run();
      }
      assertEquals(1, results.size());
      assertTrue(
          results.toString(),
          fault.isEmpty()
              ? results.get(0).equals("1 a#1,b#1,c#1 - -")
              : results.get(0).startsWith("b"));
    }
  }

  /** Answers of the voters that are not delivered yet. */
  private final List<Runnable> queue = new ArrayList<>();

  /** The text of a set of voters parses to an equal set. */
  @Test
  public void aSetOfVotersIsReadAsItWasWritten() {
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < 50; i++) {
      List<String> keys =
          random
              .ints(random.nextInt(1, 6), 0, 99)
              .mapToObj(n -> "n" + n + "#" + Integer.toHexString(n))
              .toList();
      VoterSet voters =
          new VoterSet(
              random.nextLong(1, 99),
              keys,
              random.nextBoolean() ? keys.get(0) : "",
              random.nextBoolean() ? keys : List.of());
      assertEquals(voters, VoterSet.parse(voters.text()));
    }
    assertArrayEquals(new Object[] {VoterSet.UNKNOWN}, new Object[] {VoterSet.parse("")});
  }
}
