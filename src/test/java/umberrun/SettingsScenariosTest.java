package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import umberrun.stats.Counters.Count;

/**
 * Everything that differs between deployments must come from the settings. These tests use a
 * deployment with other names, rules and load reports than the other tests.
 */
public class SettingsScenariosTest {
  /**
   * One hall, three kinds of idempotency, a drain grace of 500 ms, no limit of loads, queue lengths
   * in answers and no copy status.
   */
  private static final String SETTINGS =
      """
      {"Classes":[{"Aim":800,"GiveUp":3000,"Idempotency":"idempotent","LateWorth":0.3,"Name":"menu","Worth":2},
       {"Aim":1500,"DedupWindow":6000,"GiveUp":3000,"Group":"cell","Idempotency":"deduplicated","LateWorth":0.2,"Name":"order","Worth":2},
       {"Aim":500,"GiveUp":2000,"Idempotency":"at_most_once","LateWorth":0.3,"Name":"charge","Worth":6}],
       "FamilyInfo":{"MayLoad":true,"MissMode":"load","StaysLoaded":8600,"WarmNotes":false,"CountsAlike":true},
       "Limits":{"ConnectTimeout":250,"IdleClose":30000,"MayCancel":true,"MayDuplicate":true,"MayProbe":true,"MostTries":5,
        "MaxRetryAfter":500,"RetryAfter":true,"StreamsPerConn":32},
       "Rules":{"AnswerSlack":16,"Cold":17000,"ColdFrom":0.2,"DrainGrace":500,"Fall":2000,"FallMultiple":2},
       "Report":{"Fields":["backlog"],"Via":"piggyback"},"Siblings":4,"Zone":0,
       "Tenants":[{"Name":"north","Fraction":0.8,"QuotaPerS":150},{"Name":"coast","Fraction":0.2,"QuotaPerS":40}],
       "Kinds":["std-2"],"Zones":["hall-a"]}""";

  private static final String CHARGE =
      "c1 send 1 charge acct=north budget=9000\nw1 expect RUN sort=charge\n";

  @Rule public final TemporaryFolder folder = new TemporaryFolder();

  // ---------------------------------------------------------------- calls that are not idempotent

  /** A call must not be sent again if its worker starts to drain and then dies. */
  @Test
  public void aNonIdempotentCallIsNotRetriedAfterADrain() throws Exception {
    try (Scenario scenario = Scenario.with(SETTINGS, "w1")) {
      scenario.play(CHARGE);
      scenario.addWorkerAndAwait("w2");
      scenario.updateWorker("w1", "terminating");
      scenario.play(
          "c2 send 2 charge acct=north budget=9000\nw2 expect RUN 2d42\nw2 send 200 - paid\nc2 expect [1,2,null paid");
      scenario.play("w1 send reset\nc1 expect [1,1,[\"Failed\"\nw2 wait 1");
    }
  }

  /** A call must not be sent again if its worker dies after the process was told to end. */
  @Test
  public void aNonIdempotentCallIsNotRetriedByAProcessThatEnds() throws Exception {
    try (Scenario scenario = Scenario.with(SETTINGS, "w1")) {
      scenario.play(CHARGE);
      scenario.addWorkerAndAwait("w2");
      Thread shutdown = new Thread(scenario.server::shutDown);
      shutdown.start();
      while (scenario.server.isHealthy()) {
        Thread.onSpinWait();
      }
      scenario.play("w1 send reset\nc1 expect [1,1,[\"Failed\"\nw2 wait 1");
      shutdown.join(TimeUnit.SECONDS.toMillis(Scenario.TIMEOUT_SECONDS));
      assertFalse(shutdown.isAlive());
    }
  }

  /**
   * A call of a process that is replaced must not be sent again by either process if its worker
   * dies.
   */
  @Test
  public void aNonIdempotentCallIsNotRetriedByASuccessor() throws Exception {
    try (Scenario scenario =
        Scenario.withOperatorInterface(SETTINGS, folder.getRoot().toPath(), "w1")) {
      scenario.play(CHARGE);
      Server replaced = scenario.startSuccessor();
      scenario.addWorkerAndAwait("w2");
      Thread shutdown = new Thread(replaced::shutDown);
      shutdown.start();
      scenario.play("w1 send reset\nc1 expect [1,1,[\"Failed\"\nc1 expect close\nw2 wait 1");
      shutdown.join(TimeUnit.SECONDS.toMillis(Scenario.TIMEOUT_SECONDS));
      assertFalse(shutdown.isAlive());
    }
  }

  /** A refused connection proves that the call did not run, so it goes to another worker. */
  @Test
  public void aNonIdempotentCallIsRetriedIfTheConnectionWasRefused() throws Exception {
    try (Scenario scenario = Scenario.with(SETTINGS, "w1-down", "w2")) {
      scenario.worker("w2").answersAll = true;
      for (int i = 1; i <= 6; i++) {
        scenario.play("c1 send " + i + " charge acct=coast\nc1 expect [1," + i + ",null");
      }
    }
  }

  // ---------------------------------------------------------------- calls with an idempotency key

  /**
   * A worker of the same cell recognizes a repeated call and drops it; a worker of another cell in
   * the same hall would run it again.
   */
  @Test
  public void aKeyedCallIsRepeatedInItsCellAlone() throws Exception {
    try (Scenario scenario = Scenario.with(SETTINGS, "w1")) {
      scenario.play(
          "c1 send 1 order acct=north token=one budget=9000\nw1 expect RUN sort=order op=one");
      scenario.addWorkerAndAwait("w2-b");
      scenario.addWorkerAndAwait("w3");
      scenario.play(
          "w1 close\nw3 expect RUN 2d41 op=one\nw3 send 200 - taken\nc1 expect [1,1,null taken\nw2-b wait 1");
    }
  }

  // ---------------------------------------------------------------- load reports in answers

  /**
   * If answers report the queue length and the concurrency but no copy status, calls are served and
   * the worker is not probed in addition.
   */
  @Test
  public void loadIsTakenFromAnswersWithoutProbes() throws Exception {
    try (Scenario scenario = Scenario.with(SETTINGS, "w1")) {
      for (int i = 1; i <= 20; i++) {
        scenario.play(
            "c1 send "
                + i
                + " menu acct=north info=lanes:2\nw1 expect RUN\nw1 send 200 depth="
                + i % 3
                + ",l=queue:"
                + i
                + " soup\nc1 expect [1,"
                + i
                + ",null soup");
      }
      assertEquals(0, scenario.server.counters().get(Count.PROBES_SENT));
      assertEquals(0, scenario.server.counters().get(Count.DISPATCH_LOOP_EXCEPTIONS));
    }
  }

  // ---------------------------------------------------------------- incomplete and invalid
  // settings

  /** Unknown fields are ignored on every level. */
  @Test
  public void unknownFieldsAreIgnored() throws Exception {
    String withUnknownFields =
        SETTINGS
            .replace("\"Siblings\"", "\"Weather\":{\"Rain\":[1,null]},\"Siblings\"")
            .replace("\"Worth\":2", "\"Colour\":\"red\",\"Worth\":2");
    try (Scenario scenario = Scenario.with(withUnknownFields, "w1")) {
      scenario.worker("w1").answersAll = true;
      scenario.play("c1 send 1 menu acct=coast\nc1 expect [1,1,null");
    }
  }

  /**
   * Classes and the number of front ends are enough: tenants, halls, kinds, limits and rules are
   * optional.
   */
  @Test
  public void mostSettingsAreOptional() throws Exception {
    try (Scenario scenario =
        Scenario.with(
            "{\"Classes\":[{\"Name\":\"menu\",\"Aim\":800,\"GiveUp\":3000,\"Worth\":1,"
                + "\"Idempotency\":\"idempotent\"}],\"Siblings\":1}",
            "w1")) {
      scenario.play("c1 send 1 menu budget=9000\nw1 expect RUN 2d41");
      scenario.addWorkerAndAwait("w2");
      scenario.play("w1 close\nw2 expect RUN 2d41\nw2 send 200 - soup\nc1 expect [1,1,null soup");
    }
  }

  /** Invalid settings end the start with status 2 and a single line that names the field. */
  @Test
  public void invalidSettingsEndTheStartWithOneLine() throws Exception {
    Map<String, String> settingsByMessage =
        Map.of(
            "at least one class",
                SETTINGS.replaceFirst("(?s)\"Classes\":\\[.*?\\}\\],", "\"Classes\":[],"),
            "aim", SETTINGS.replace("\"Aim\":500", "\"Aim\":0"),
            "giveUp", SETTINGS.replace("\"GiveUp\":2000", "\"GiveUp\":-1"),
            "siblings", SETTINGS.replace("\"Siblings\":4", "\"Siblings\":0"),
            "Classes", SETTINGS.replace("\"charge\"", "\"menu\""),
            "many", SETTINGS.replace("\"DrainGrace\":500", "\"DrainGrace\":\"many\""));
    for (Map.Entry<String, String> e : settingsByMessage.entrySet()) {
      Path config =
          Files.writeString(
              folder.newFile().toPath(),
              "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\","
                  + "\"changelog\":\"127.0.0.1:1\",\"settings\":"
                  + e.getValue()
                  + "}");
      ProcessBuilder builder =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-cp",
                  System.getProperty("java.class.path"),
                  "umberrun.Main",
                  "serve")
              .redirectErrorStream(true);
      builder.environment().put("EDGE_CONFIG", config.toString());
      Process process = builder.start();
      String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertEquals(output, 2, process.waitFor());
      assertTrue(output, output.matches("umberrun: .*\\n") && output.contains(e.getKey()));
    }
  }
}
