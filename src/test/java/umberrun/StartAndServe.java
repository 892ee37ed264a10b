package umberrun;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import saddlestall.Dispatcher.Settings;
import umberrun.config.Config;
import umberrun.stats.Counters.Count;

/**
 * Starts a front end, warms it up, polls the worker list, connects to a worker, and serves and
 * fails calls. The build (pom.xml) runs it to list the classes for the class data sharing archive.
 * A class that is missing there is loaded while calls wait.
 */
final class StartAndServe {
  private static final int CALLS_TO_SERVE = 6;

  private StartAndServe() {}

  public static void main(String[] args) throws Exception {
    Main.quietLibraries();
    Map<String, String> env = new HashMap<>(System.getenv());
    env.put("EDGE_CONFIG", Path.of("examples", "config.json").toString());
    Settings settings = Config.read(env).settings();
    WarmUp.dispatcher(settings);
    WarmUp.framing(WarmUp.iterations(settings));
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.worker("w1").answersAll = true;
      int callId = 0;
      // Calls that arrive while the event loop is late are refused, so it may take more than six.
      while (scenario.server.counters().get(Count.CALLS_SERVED) < CALLS_TO_SERVE) {
        callId++;
        scenario.play(
            "c1 send "
                + callId
                + (callId % 2 == 0 ? " slot-change" : " date-lookup")
                + "\nc1 expect [1,"
                + callId);
      }
      scenario.play("c1 send 41 no-such-class\nc1 expect Invalid\nc1 send revoke 42");
      scenario.addWorkerAndAwait("w2");
      scenario.reload("{", Count.CONFIGS_REFUSED);
      scenario.moveChangeLog();
      scenario.addWorkerAndAwait("w3");
    }
    // The threads of the simulated clients would keep the process alive.
    System.exit(0);
  }
}
