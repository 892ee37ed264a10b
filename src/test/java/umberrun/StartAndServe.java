package umberrun;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import saddlestall.Dispatcher.Settings;
import umberrun.config.Config;
import umberrun.stats.Counters.Count;

/**
 * A start that goes all the way: rehearsed, polled, connected to a worker, calls served and failed.
 * The build runs it to list the classes that the archive must hold (pom.xml): one that is missing
 * there is loaded while calls wait.
 */
final class StartAndServe {
  private static final int SERVED = 6;

  private StartAndServe() {}

  public static void main(String[] args) throws Exception {
    Main.quietLibraries();
    Map<String, String> env = new HashMap<>(System.getenv());
    env.put("EDGE_CONFIG", Path.of("examples", "config.json").toString());
    Settings settings = Config.read(env).settings();
    WarmUp.module(settings);
    WarmUp.framing(WarmUp.turns(settings));
    try (Scenario s = Scenario.of("w1")) {
      s.worker("w1").answersAll = true;
      int id = 0;
      while (s.server.counters().get(Count.CALLS_SERVED)
          < SERVED) { // one that comes late is refused
        id++;
        s.play(
            "c1 send "
                + id
                + (id % 2 == 0 ? " slot-change" : " date-lookup")
                + "\nc1 expect [1,"
                + id);
      }
      s.play("c1 send 41 no-such-class\nc1 expect Invalid\nc1 send revoke 42");
      s.join("w2");
      s.reload("{", Count.CONFIGS_REFUSED);
      s.moveRoll();
      s.join("w3");
    }
    System.exit(0); // the clients' threads of the stand-ins would go on
  }
}
