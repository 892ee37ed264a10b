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
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.Test;
import umberrun.front.rpc.RpcFront;

/** What the deploy file and the build agree on. */
public class DeployTest {

  /** A restart without the archive of classes takes twice the time, and nothing else would show that it is missing. */
  @Test
  public void theRunCommandNamesTheArchiveThatTheBuildMakes() throws Exception {
    String archive = runCommand().replaceAll(".*-XX:SharedArchiveFile=(\\S+) .*", "$1");
    assertTrue(archive, Files.readString(Path.of("pom.xml")).contains("-XX:ArchiveClassesAtExit=" + archive + "<"));
  }

  /** The start that the build takes the classes from ends by itself, and well. */
  @Test
  public void aRehearsalEnds() throws Exception {
    rehearse(List.of());
  }

  /** Netty's flight recorder events cost a start a sixth of its processor time, and nobody records them. */
  @Test
  public void theRunCommandStartsWithoutFlightRecorderEvents() throws Exception {
    File loaded = File.createTempFile("classes", ".log");
    List<String> flags = new ArrayList<>(Stream.of(runCommand().split(" ")).filter(w -> w.startsWith("-D")
        && !w.contains("tmpdir")).toList());
    flags.add("-Xlog:class+load:file=" + loaded);
    rehearse(flags);
    String classes = Files.readString(loaded.toPath());
    assertTrue("the log of classes", classes.contains("io.netty.buffer.ByteBufAllocator "));
    assertFalse("events are set up", classes.contains("io.netty.buffer.AbstractAllocatorEvent "));
    Files.delete(loaded.toPath());
  }

  /** Planned restarts follow each other: a node that rehearses for long is not back when the last one ends. */
  @Test
  public void aStartAsksItselfAFewHundredTimesAtMost() throws Exception {
    Vertx vertx = Vertx.vertx();
    try {
      int one = RpcFront.rehearsalRequest(1).length();
      AtomicInteger bytes = new AtomicInteger();
      NetServer front = vertx.createNetServer().connectHandler(s -> s.handler(b -> {
        int before = bytes.get() / one;
        int whole = bytes.addAndGet(b.length()) / one - before;
        s.write(Buffer.buffer(new byte[whole * RpcFront.heartbeatAnswerBytes()]));
      }));
      int port = front.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get().actualPort();
      Promise<Void> done = Promise.promise();
      vertx.runOnContext(v -> Rehearsal.sockets(vertx, SocketAddress.inetSocketAddress(port, "127.0.0.1"))
          .onComplete(done));
      done.future().toCompletionStage().toCompletableFuture().get();
      int asked = bytes.get() / one;
      assertTrue("asked " + asked + " times", asked >= 200 && asked <= 400);
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().get();
    }
  }

  private static String runCommand() throws IOException {
    return Files.readAllLines(Path.of("deploy/balancer.toml")).stream().filter(l -> l.startsWith("run"))
        .findFirst().orElseThrow();
  }

  private static void rehearse(List<String> flags) throws Exception {
    List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    command.addAll(flags);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "umberrun.Main", "rehearse"));
    ProcessBuilder b = new ProcessBuilder(command);
    b.environment().putAll(Map.of("EDGE_CONFIG", "examples/config.json", "EDGE_LISTEN", "127.0.0.1:0"));
    Process p = b.redirectErrorStream(true).redirectOutput(new File("/dev/null")).start();
    assertTrue("still running", p.waitFor(60, TimeUnit.SECONDS));
    assertEquals(0, p.exitValue());
  }
}
