package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.SocketAddress;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.Test;
import saddlestall.Dispatcher.Settings;
import saddlestall.benchlink.SettingsJson;
import umberrun.front.rpc.RpcServer;

/** Checks that the deploy file and the build fit together, and what a start loads and runs. */
public class DeployTest {

  /**
   * A restart without the class data sharing archive takes twice the time, and nothing else would
   * show that the archive is missing.
   */
  @Test
  public void theRunCommandNamesTheArchiveThatTheBuildMakes() throws Exception {
    String archive = runCommand().replaceAll(".*-XX:SharedArchiveFile=(\\S+) .*", "$1");
    assertTrue(
        archive,
        Files.readString(Path.of("pom.xml")).contains("-XX:SharedArchiveFile=" + archive + "<"));
  }

  /**
   * The archive must contain the classes that a start and the first calls load. Otherwise they are
   * loaded from the jar, on half a core, while calls wait.
   */
  @Test
  public void theArchiveIsMadeOfAStartThatPollsAndServes() throws Exception {
    assertTrue(
        Files.readString(Path.of("pom.xml"))
            .contains("<argument>umberrun.StartAndServe</argument>"));
    String classes = startAndServe("-XX:DumpLoadedClassList=%s");
    for (String needed :
        List.of(
            "umberrun/WarmUp",
            "umberrun/worker/WorkerConnection",
            "umberrun/front/rpc/RpcConnection$1",
            "umberrun/workerlist/ChangeLogSource",
            "io/netty/handler/codec/http/HttpClientCodec")) {
      assertTrue(needed, classes.lines().anyMatch(needed::equals));
    }
    // A disabled feature must not cost start time: none of its classes is loaded, nor any class of
    // a library that only it uses.
    for (String disabled :
        List.of(
            "umberrun/fleet/",
            "umberrun/consensus/",
            "umberrun/lease/",
            "umberrun/works/",
            "umberrun/sim/",
            "umberrun/learning/net/",
            "org/slf4j/",
            "ch/qos/",
            "org/HdrHistogram/",
            "org/knowm/",
            "picocli/")) {
      assertFalse(disabled, classes.lines().anyMatch(l -> l.startsWith(disabled)));
    }
  }

  /**
   * The flight recorder events of Netty take a sixth of the processor time of a start, and nobody
   * records them.
   */
  @Test
  public void theRunCommandStartsWithoutFlightRecorderEvents() throws Exception {
    List<String> flags =
        new ArrayList<>(
            Stream.of(runCommand().split(" "))
                .filter(w -> w.startsWith("-D") && !w.contains("tmpdir"))
                .toList());
    flags.add("-Xlog:class+load:file=%s");
    String classes = startAndServe(flags.toArray(String[]::new));
    assertTrue(
        "class loading is not logged", classes.contains("io.netty.buffer.ByteBufAllocator "));
    assertFalse(
        "flight recorder events are set up",
        classes.contains("io.netty.buffer.AbstractAllocatorEvent "));
  }

  /**
   * Planned restarts follow each other: a front end whose warm up takes long is not back when the
   * last of the others ends.
   */
  @Test
  public void theWarmUpRunsForAsManyCallsAsTheSettingsLetExpect() throws Exception {
    assertEquals(300, WarmUp.iterations(settings("{QuotaPerS:74},{QuotaPerS:138}")));
    assertEquals(2_850, WarmUp.iterations(settings("{QuotaPerS:2850}")));
    assertEquals(3_200, WarmUp.iterations(settings("{QuotaPerS:1e9}")));
    Vertx vertx = Vertx.vertx();
    try {
      int requestBytes = RpcServer.warmUpRequest(1).length();
      AtomicInteger bytesReceived = new AtomicInteger();
      NetServer frontEnd =
          vertx
              .createNetServer()
              .connectHandler(
                  socket ->
                      socket.handler(
                          buffer -> {
                            int completeBefore = bytesReceived.get() / requestBytes;
                            int newRequests =
                                bytesReceived.addAndGet(buffer.length()) / requestBytes
                                    - completeBefore;
                            socket.write(
                                Buffer.buffer(
                                    new byte[newRequests * RpcServer.heartbeatAnswerBytes()]));
                          }));
      int port =
          frontEnd
              .listen(0, "127.0.0.1")
              .toCompletionStage()
              .toCompletableFuture()
              .get()
              .actualPort();
      Promise<Void> done = Promise.promise();
      vertx.runOnContext(
          v ->
              WarmUp.sockets(vertx, SocketAddress.inetSocketAddress(port, "127.0.0.1"), 300)
                  .onComplete(done));
      done.future().toCompletionStage().toCompletableFuture().get();
      int asked = bytesReceived.get() / requestBytes;
      assertTrue("asked " + asked + " times", asked >= 300 && asked < 320);
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().get();
    }
  }

  private static Settings settings(String tenants) throws Exception {
    return SettingsJson.read(
        "{Siblings:3,Classes:[{Name:a,Aim:400,GiveUp:4000,Idempotency:idempotent,Worth:1}],Tenants:["
            + tenants
            + "]}");
  }

  private static String runCommand() throws IOException {
    return Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
        .filter(l -> l.startsWith("run"))
        .findFirst()
        .orElseThrow();
  }

  /**
   * Runs {@link StartAndServe} in a JVM with these flags. Returns what it wrote to the file that
   * replaces %s in them.
   */
  private static String startAndServe(String... flags) throws Exception {
    File out = File.createTempFile("classes", ".lst");
    List<String> command =
        new ArrayList<>(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    Stream.of(flags).map(f -> f.replace("%s", out.toString())).forEach(command::add);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "umberrun.StartAndServe"));
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(new File("/dev/null"))
            .start();
    assertTrue("still running", process.waitFor(60, TimeUnit.SECONDS));
    assertEquals(0, process.exitValue());
    String written = Files.readString(out.toPath());
    Files.delete(out.toPath());
    return written;
  }
}
