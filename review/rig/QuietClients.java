import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/** Usual clients beside some whose connections fall quiet; one answer in sixteen is long. */
final class QuietClients {
  private static final int LONG_BYTES = 230_000;
  private static final int QUIET = 80;
  private static final int PACE_MILLIS = 100;
  private static final int USUAL = 4;
  private static final long USUAL_MILLIS = 8_000;

  public static void main(String[] args) throws Exception {
    Rig rig = new Rig(args);
    byte[] answer = new byte[LONG_BYTES];
    rig.startWorkers(
        new Worker.Behaviour() {
          @Override
          public long delay(Worker.Run run) {
            return 50;
          }

          @Override
          public byte[] answer(Worker.Run run) {
            return run.asset().equals(UsualClient.LONG_FUNCTION) ? answer : run.body();
          }
        });
    rig.configure(false);
    FrontEnd frontEnd = rig.start(rig.door1);
    if (!frontEnd.awaitReady(10_000)) {
      rig.end(2, "the front end did not start");
    }
    Process links =
        new ProcessBuilder(
                "perl",
                rig.root.resolve("review/rig/quiet.pl").toString(),
                "" + rig.rpcPort,
                rig.trouble ? "quiet" : "reading")
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(rig.log.toFile()))
            .start();
    rig.helpers.add(links);
    OutputStream lines = links.getOutputStream();
    for (int i = 1; i <= QUIET; i++) {
      StringBuilder line = new StringBuilder();
      for (int id = 1; id <= UsualClient.LONG_SHARE; id++) {
        line.append(HexFormat.of().formatHex(UsualClient.call(id, id == UsualClient.LONG_SHARE)));
      }
      lines.write(line.append('\n').toString().getBytes());
      lines.flush();
      rig.record.line("client " + i + " behind a link: " + UsualClient.LONG_SHARE
          + " calls, the last one with a long answer; "
          + (rig.trouble ? "falls quiet, its connection stays open" : "reads its answers"));
      Thread.sleep(PACE_MILLIS);
    }
    if (!links.isAlive()) {
      rig.end(2, "the clients behind links did not start");
    }
    List<Thread> usual = new ArrayList<>();
    long end = rig.record.now() + USUAL_MILLIS;
    for (int i = 1; i <= USUAL; i++) {
      usual.add(new UsualClient(rig, i, 10, true).start(end));
    }
    for (Thread client : usual) {
      client.join(USUAL_MILLIS + UsualClient.LAST_MILLIS);
    }
    rig.record.line("usual clients: " + UsualClient.SENT + " calls, " + UsualClient.ENDS + ", lost " + UsualClient.LOST);
    rig.end(
        UsualClient.LOST.get() > 0 ? 1 : 0,
        UsualClient.LOST + " of " + UsualClient.SENT + " calls of usual clients got no final answer");
  }

  private QuietClients() {}
}
