import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Usual clients of the platform's protocol beside one app of the invoke API: 240 calls a second of
 * both styles, each with a key of its own and the longest body that is allowed. All together stay
 * under 300 calls a second.
 */
final class GreedyApp {
  private static final int CONNECTIONS = 60;
  private static final int CALLS_PER_SECOND = 240;
  private static final int BODY_BYTES = 16 << 10;
  private static final int USUAL = 4;
  private static final long MILLIS = 30_000;

  public static void main(String[] args) throws Exception {
    Rig rig = new Rig(args);
    rig.startWorkers(
        new Worker.Behaviour() {
          @Override
          public long delay(Worker.Run run) {
            return 50;
          }

          @Override
          public byte[] answer(Worker.Run run) {
            return "moved".getBytes();
          }
        });
    rig.configure(true);
    FrontEnd frontEnd = rig.start(rig.door1);
    if (!frontEnd.awaitReady(10_000)) {
      rig.end(2, "the front end did not start");
    }
    long end = rig.record.now() + MILLIS;
    List<Thread> usual = new ArrayList<>();
    for (int i = 1; i <= USUAL; i++) {
      usual.add(new UsualClient(rig, i, 100, false).start(end));
    }
    Thread.sleep(2_000);
    long begin = rig.record.now();
    AtomicInteger sent = new AtomicInteger();
    AtomicInteger answered = new AtomicInteger();
    for (int i = 0; rig.trouble && i < CONNECTIONS; i++) {
      Thread thread = new Thread(() -> app(rig, begin, end, sent, answered));
      thread.setDaemon(true);
      thread.start();
    }
    for (Thread client : usual) {
      client.join(MILLIS + UsualClient.LAST_MILLIS);
    }
    boolean ready = frontEnd.isReady();
    rig.record.line("the app sent " + sent + " calls, " + answered + " were answered");
    rig.record.line("usual clients: " + UsualClient.SENT + " calls, " + UsualClient.ENDS + ", lost " + UsualClient.LOST);
    rig.record.line("the front end " + (frontEnd.process.isAlive() ? "runs" : "has ended")
        + (ready ? " and says that it is ready" : " and does not say that it is ready"));
    rig.end(
        UsualClient.LOST.get() > 0 ? 1 : 0,
        UsualClient.LOST + " of " + UsualClient.SENT + " calls of usual clients got no final answer"
            + (ready ? "" : "; the front end does not answer its operators either"));
  }

  /** One connection of the app, which sends the next call when it is due and the last is answered. */
  private static void app(
      Rig rig, long begin, long end, AtomicInteger sent, AtomicInteger answered) {
    while (rig.record.now() < end) {
      try (Socket socket = new Socket("127.0.0.1", rig.invokePort)) {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(6_000);
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        while (rig.record.now() < end) {
          int number = sent.incrementAndGet();
          Thread.sleep(Math.max(0, begin + number * 1_000L / CALLS_PER_SECOND - rig.record.now()));
          boolean deferred = number % 2 == 0;
          Http.send(
              socket,
              "POST",
              "/v1/functions/" + Rig.FUNCTION + "/invocations",
              deferred
                  ? Rig.headers("slot-change", "Idempotency-Key", "reminder-" + number, "Prefer", "respond-async")
                  : Rig.headers("slot-change", "Idempotency-Key", "reminder-" + number),
              new byte[BODY_BYTES]);
          int status = Http.answer(in).status();
          answered.incrementAndGet();
          rig.record.line("app: " + (deferred ? "deferred" : "synchronous") + " call reminder-" + number
              + " answered " + status);
        }
      } catch (IOException e) {
        try {
          Thread.sleep(100);
        } catch (InterruptedException x) {
          return;
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private GreedyApp() {}
}
