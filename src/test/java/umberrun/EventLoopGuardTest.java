package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** A process whose event loop breaks down is ended; see {@link EventLoopGuard}. */
public class EventLoopGuardTest {
  private static final int EVENT_LOOP_BROKEN_STATUS = 70;

  @Rule public final TemporaryFolder folder = new TemporaryFolder();
  private final BlockingQueue<String> reasons = new LinkedBlockingQueue<>();
  private final EventLoopGuard guard = new EventLoopGuard(reasons::add);

  /** Guards against a process that lives on without its event loop and answers nobody. */
  @Test
  public void theProcessEndsWithItsEventLoop() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      Process process =
          s.startSuccessor(
              folder.getRoot().toPath(), freePort(), Scenario.SETTINGS, "umberrun.ServeUntilInput");
      process.getOutputStream().write('x');
      process.getOutputStream().flush();
      assertTrue(
          "the process goes on", process.waitFor(Scenario.TIMEOUT_SECONDS, TimeUnit.SECONDS));
      assertEquals(EVENT_LOOP_BROKEN_STATUS, process.exitValue());
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  /** Guards against calls that are left half done by a handler that ran out of heap. */
  @Test
  public void aHandlerWithoutHeapIsReported() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.onEventLoopBroken = reasons::add;
      s.server
          .context()
          .runOnContext(
              v -> {
                throw new OutOfMemoryError("Java heap space");
              });
      String reason = reasons.poll(Scenario.TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertTrue(reason, reason.contains("Java heap space"));
    }
  }

  /** A write that found no direct memory has failed as a whole; the event loop goes on. */
  @Test
  public void whatHitsOneConnectionOnlyIsNotReported() {
    guard.onException(new IllegalStateException());
    guard.onException(new OutOfMemoryError("Cannot reserve 65536 bytes of direct buffer memory"));
    assertNull(reasons.poll());
  }

  @Test
  public void anOrderlyEndIsNotReported() throws Exception {
    Thread loop = new Thread(() -> {});
    guard.stop();
    loop.start();
    guard.watch(loop);
    loop.join();
    guard.onException(new OutOfMemoryError("Java heap space"));
    assertNull(reasons.poll());
  }
}
