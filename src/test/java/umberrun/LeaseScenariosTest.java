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

/** Settings of leases, and their smaller decisions each by itself. */
public class LeaseScenariosTest {
  private static final String FLEET = "\"fleet\":{\"name\":\"yard\",\"listen\":\"127.0.0.1:1\"}";

  /** Each bad setting is one plain line that names it. */
  @Test
  public void badSettingsAreNamed() throws Exception {
    String three = "\"voters\":[\"b0\",\"b1\",\"b2\"]";
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
                "{" + three + "}",
                "leases.state_dir",
                "{" + three + ",\"state_dir\":\"/tmp/x\",\"length_ms\":300}",
                "leases.length_ms",
                "{" + three + ",\"state_dir\":\"/tmp/x\",\"rate\":0.5}",
                "leases.rate",
                "{" + three + ",\"state_dir\":\"/tmp/x\",\"probe_ms\":5}",
                "leases.probe_ms",
                "{" + three + ",\"state_dir\":\"/tmp/x\",\"lenght_ms\":3000}",
                "leases.lenght_ms")
            .entrySet()) {
      assertTrue(
          bad.getKey(), refused(FLEET + ",\"leases\":" + bad.getKey()).contains(bad.getValue()));
    }
    assertTrue(refused("\"leases\":{" + three + "}").contains("fleet"));
  }

  private static String refused(String sections) throws Exception {
    Path file = Files.writeString(Files.createTempFile("operator", ".json"), "{" + sections + "}");
    Path config =
        Files.writeString(
            Files.createTempFile("config", ".json"),
            "{\"name\":\"b0\",\"listen\":\"127.0.0.1:0\","
                + "\"changelog\":\"127.0.0.1:1\",\"settings\":"
                + Scenario.SETTINGS
                + "}");
    InvalidConfig e =
        assertThrows(
            InvalidConfig.class,
            () ->
                Config.read(
                    Map.of(
                        "EDGE_CONFIG", config.toString(), "UMBERRUN_OPERATOR", file.toString())));
    assertFalse(e.getMessage(), e.getMessage().contains("\n"));
    return e.getMessage();
  }

  /** Near before far, few duties before many, nobody who is not fit; all come to the same order. */
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
    assertEquals("not fit", all.size(), CandidateRanking.rank("probe/y", "y", "d", all));
    List<Integer> places =
        all.stream().map(c -> CandidateRanking.rank("beacon", "", c.name(), all)).sorted().toList();
    assertEquals(List.of(0, 1, 2, 3, 5), places);
    java.util.Collections.shuffle(all, new java.util.Random(5));
    assertEquals(0, CandidateRanking.rank("probe/y", "y", "c", all));
  }

  /**
   * Before the register was read no act is taken; afterwards none that is older than one that was,
   * or than what was read.
   */
  @Test
  public void oldActsAreRefusedAlsoAfterARestart() {
    FenceRegistry f = new FenceRegistry();
    assertFalse(f.accept("d", 7));
    f.observe("d", 5);
    assertFalse(f.accept("d", 4));
    assertTrue(f.accept("d", 7));
    f.observe("d", 6); // an answer that was long on its way
    assertFalse(f.accept("d", 6));
    assertTrue(f.accept("d", 7));
  }

  /**
   * One lost answer is none yet, two in a row are; one answer ends it. Who is gone from the list is
   * forgotten.
   */
  @Test
  public void aHallIsJudgedByAnswers() {
    HallHealthMonitor w = new HallHealthMonitor(100);
    List<String> names = List.of("a", "b", "c", "d");
    long now = 1_000;
    for (int round = 0; round < 6; round++, now += 100) {
      for (long t = now; t < now + 100; t += 10) {
        for (String n : w.workersToProbe(t, names)) {
          w.recordProbe(n, n.equals("c") ? 30_000 : 2_500, !n.equals("b"));
        }
      }
    }
    Map<String, HallHealthMonitor.HealthReading> seen = new java.util.TreeMap<>();
    w.changes().forEach(r -> seen.put(r.worker(), r));
    assertEquals(java.util.Set.of("b", "c"), seen.keySet());
    assertEquals(1, seen.get("b").failureRate(), 0);
    assertTrue(
        seen.get("c").toString(),
        seen.get("c").latencyRatio() > 3 && seen.get("c").failureRate() == 0);
    assertEquals(1, w.failingCount());
    for (String n : w.workersToProbe(now + 100, names)) {
      w.recordProbe(n, 2_500, true);
    }
    assertTrue(w.changes().stream().anyMatch(r -> r.worker().equals("b") && r.failureRate() == 0));
    w.workersToProbe(now + 200, List.of("a"));
    w.recordProbe("b", 1, true);
    assertEquals(List.of(), w.changes());
  }

  /**
   * All must answer, none may know of voters, and all must name the same; a second founding comes
   * to the same set.
   */
  @Test
  public void aFoundingNeedsAllOfThem() {
    for (String fault : List.of("", "its file names other voters", "voted")) {
      List<String> ended = new ArrayList<>();
      VoterBootstrap[] f = new VoterBootstrap[1];
      f[0] =
          new VoterBootstrap(
              List.of("c", "a", "b"),
              1_000_000,
              new VoterBootstrap.Outbox() {
                @Override
                public void send(String to, ConsensusMessage m) {
                  answers.add(
                      () ->
                          f[0].receive(
                              1,
                              to,
                              m instanceof ConsensusMessage.VoterQuery a
                                  ? new ConsensusMessage.VoterDescription(
                                      m.op(),
                                      a.make() ? to + "#1" : "",
                                      to.equals("b") && fault.equals("voted")
                                          ? VoterSet.first(List.of("b#9"))
                                          : VoterSet.UNKNOWN,
                                      to.equals("b") && !fault.equals("voted") ? fault : "")
                                  : new ConsensusMessage.Installed(m.op())));
                }

                @Override
                public void startTimer(long at) {
                  // not played here
                }

                @Override
                public void completed(VoterSet founded, String why) {
                  ended.add(founded == null ? why : founded.text());
                }

                private final List<Runnable> answers = queue;
              });
      queue.clear();
      f[0].start(0);
      while (!queue.isEmpty()) {
        queue.remove(0).run();
      }
      assertEquals(1, ended.size());
      assertTrue(
          ended.toString(),
          fault.isEmpty()
              ? ended.get(0).equals("1 a#1,b#1,c#1 - -")
              : ended.get(0).startsWith("b"));
    }
  }

  private final List<Runnable> queue = new ArrayList<>();

  @Test
  public void aSetOfVotersIsReadAsItWasWritten() {
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < 50; i++) {
      List<String> keys =
          random
              .ints(random.nextInt(1, 6), 0, 99)
              .mapToObj(n -> "n" + n + "#" + Integer.toHexString(n))
              .toList();
      VoterSet v =
          new VoterSet(
              random.nextLong(1, 99),
              keys,
              random.nextBoolean() ? keys.get(0) : "",
              random.nextBoolean() ? keys : List.of());
      assertEquals(v, VoterSet.parse(v.text()));
    }
    assertArrayEquals(new Object[] {VoterSet.UNKNOWN}, new Object[] {VoterSet.parse("")});
  }
}
