import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A process is replaced. A client's call runs at the new process; the client has lost its connection
 * and repeats the call under the same key, on a connection to the old process, which is then told to
 * end. The repeat has to be answered.
 */
final class Case9 {
  private static final int PATIENCE_MILLIS = 5_000;
  private static final int SLACK_MILLIS = 550;

  /** Later than the earliest time that the pages name, 3.7 s: the process may end by itself. */
  private static final int KILL_AFTER_MILLIS = 8_000;

  public static void main(String[] args) throws Exception {
    Rig.main(args[0], Case9::play);
  }

  private static Map<String, String> headers(String key) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Invoke-Class", "slot-change");
    headers.put("Invoke-Tenant", "central-council");
    headers.put("Idempotency-Key", key);
    return headers;
  }

  private static final String PATH = "/v1/functions/7f3a9c21e0b4d655/invocations";

  private static boolean play(Rig rig) throws Exception {
    AtomicInteger hungRuns = new AtomicInteger();
    List<String> endpoints = new java.util.ArrayList<>();
    String[] halls = {"hall-a", "hall-b", "hall-c"};
    for (int i = 0; i < 3; i++) {
      Rig.Worker worker = rig.new Worker("s-000000b" + i);
      worker.behaviour =
          call -> {
            rig.note("run   key " + call.fields.get("op") + " at " + worker.name);
            if ("hung".equals(call.fields.get("op"))) {
              // This host hangs: it takes the call and answers nothing more.
              hungRuns.incrementAndGet();
            } else {
              call.ok("done");
            }
          };
      endpoints.add(Rig.endpoint(worker, halls[i], 0, "in_service", 0));
    }
    Rig.ChangeLog changeLog = rig.new ChangeLog(endpoints);
    int invokePort = rig.freePort();
    Rig.FrontEnd frontEnd =
        rig.new FrontEnd(
            "n1",
            Rig.settings(
                Rig.DATE_LOOKUP + "," + Rig.SLOT_CHANGE, Rig.COUNCIL, Rig.HALLS, 1),
            changeLog.address(),
            changeLog.known(0),
            "{\"invoke\":{\"listen\":\"127.0.0.1:" + invokePort + "\"}}");
    Rig.FrontEndProcess old = frontEnd.start().awaitReady();
    // A client's connection to the old process, kept alive.
    Rig.Http toOld = new Rig.Http(invokePort);
    for (int i = 0; i < 5; i++) {
      toOld.send("POST", PATH, headers("before-" + i), "change");
      rig.note("before: " + toOld.receive(5_000).status);
    }
    Rig.FrontEndProcess successor = frontEnd.start().awaitReady();
    Rig.Http toNew = connectionToNew(rig, invokePort);
    toNew.send("POST", PATH, headers("hung"), "change");
    long sentAt = rig.now();
    rig.note("sent  POST with key hung to the new process");
    if (!Rig.await(3_000, () -> hungRuns.get() > 0)) {
      throw new Rig.CannotRun("the call did not reach a worker");
    }
    toNew.close();
    rig.note("the client has lost its connection");
    toOld.send("POST", PATH, headers("hung"), "change");
    long repeatedAt = rig.now();
    rig.note("sent  the repeat under the same key to the old process");
    Rig.sleep(100);
    long termAt = rig.now();
    if (Rig.TROUBLE) {
      old.signal("TERM");
    }
    String outcome;
    try {
      Rig.Http.Response response = toOld.receive(PATIENCE_MILLIS + SLACK_MILLIS);
      outcome = response == null ? null : response.status + " " + response.text();
    } catch (IOException e) {
      rig.note("reading the answer: " + e);
      outcome = null;
    }
    rig.note(
        "the repeat got "
            + (outcome == null ? "no answer; its connection ended or its time was up" : outcome)
            + ", "
            + (rig.now() - repeatedAt)
            + " ms after it was sent");
    boolean endedByItself =
        !Rig.TROUBLE
            || old.process.waitFor(
                Math.max(1, KILL_AFTER_MILLIS - (rig.now() - termAt)), TimeUnit.MILLISECONDS);
    if (Rig.TROUBLE) {
      rig.note(
          endedByItself
              ? "the old process ended by itself, " + (rig.now() - termAt) + " ms after SIGTERM"
              : "the old process is still there " + KILL_AFTER_MILLIS + " ms after SIGTERM");
    }
    rig.note("the call under this key reached workers " + hungRuns + " times");
    rig.detail("log of the old process:\n" + old.log());
    rig.detail("log of the new process:\n" + successor.log());
    return outcome == null && endedByItself;
  }

  /** A connection to the new process: its counters show that it has taken no call yet. */
  private static Rig.Http connectionToNew(Rig rig, int port) throws Exception {
    for (int i = 0; i < 200; i++) {
      Rig.Http http = new Rig.Http(port);
      http.send("GET", "/v1/counters", Map.of(), "");
      Rig.Http.Response response = http.receive(5_000);
      if (response.text().contains("\"calls_taken\":0")) {
        rig.note("connection " + (i + 1) + " is one to the new process");
        return http;
      }
      http.close();
    }
    throw new Rig.CannotRun("no connection reached the new process");
  }
}
