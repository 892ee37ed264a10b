package umberrun.worker;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import saddlestall.Dispatcher.OutcomeCode;
import saddlestall.Dispatcher.WorkerState;
import saddlestall.benchlink.SettingsJson;
import umberrun.admission.ConnectionLimits;
import umberrun.admission.ConnectionLimits.Purpose;
import umberrun.config.Config.SettingNames;
import umberrun.core.Clock;
import umberrun.core.Endpoint;
import umberrun.core.WorkerLeaseView;
import umberrun.stats.Counters;

/** What the way to the workers keeps, and what it reads, without a socket. */
public class WorkerPoolTest {
  /** Discovery is never out of reach. */
  private static final WorkerLeaseView LEASES =
      new WorkerLeaseView() {
        @Override
        public long leaseUntil(int worker) {
          return Long.MAX_VALUE;
        }

        @Override
        public void onConnectionRefused(int worker) {}
      };

  /** On a long day workers come and go by the hundred; most were never called from here. */
  @Test
  public void aGoneWorkerIsForgottenWithoutAConnection() throws Exception {
    Vertx vertx = Vertx.vertx();
    WorkerPool pool =
        new WorkerPool(
            vertx,
            new Clock(),
            new Counters(),
            SettingsJson.read("{}"),
            new SettingNames(List.of("a"), List.of(), List.of(), List.of(), 1_000, 100, 1_000),
            new ConnectionLimits(256, false, false, 0),
            LEASES);
    for (int id = 0; id < 10; id++) {
      pool.update(id, endpoint(id, WorkerState.READY), 0);
      pool.update(id, endpoint(id, WorkerState.GONE), 1);
    }
    assertEquals(0, pool.known());
    vertx.close();
  }

  private static Endpoint endpoint(int id, WorkerState state) {
    return endpoint(id, 1, state);
  }

  private static Endpoint endpoint(int id, int port, WorkerState state) {
    return new Endpoint("s" + id, "127.0.0.1", port, 0, 0, 0, state, 1, 0);
  }

  /**
   * A fleet of more workers than places for links: an idle link gives way, where the command was
   * refused before.
   */
  @Test
  public void moreWorkersThanPlacesAreAllReached() throws Exception {
    try (Fleet fleet = new Fleet()) {
      for (int id = 0; id < 150; id++) {
        fleet.command(id);
        assertTrue("worker " + id, fleet.arrived.tryAcquire(10, TimeUnit.SECONDS));
      }
      assertTrue(fleet.account.inUse(Purpose.LINKS) <= fleet.account.limit(Purpose.LINKS));
    }
  }

  /** What is replaced keeps no descriptor until it would close as idle: the newcomers need it. */
  @Test
  public void aDrainedWorkersIdleLinkIsClosedAtOnce() throws Exception {
    try (Fleet fleet = new Fleet()) {
      fleet.command(0);
      assertTrue(fleet.arrived.tryAcquire(10, TimeUnit.SECONDS));
      fleet.drain(0);
      assertTrue(fleet.closed.tryAcquire(10, TimeUnit.SECONDS));
    }
  }

  /**
   * A worker does not read when its link ends, as with a drain that finds it stuck; when it reads
   * on, the rest does not come.
   */
  @Test
  public void whatWasNotWrittenYetWhenALinkEndsIsNotWritten() throws Exception {
    Vertx vertx = Vertx.vertx();
    int bytes = 32 << 20; // more than the system takes in for a reader that does not read
    try (ServerSocket worker = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<OutcomeCode> end = new CompletableFuture<>();
      vertx.runOnContext(
          v -> {
            WorkerConnection link =
                new WorkerConnection(
                    vertx,
                    new Clock(),
                    new WorkerConnection.Listener() {
                      @Override
                      public void withheld() {}

                      @Override
                      public boolean mayStart(long now) {
                        return true;
                      }

                      @Override
                      public void closed(WorkerConnection l) {}
                    },
                    60_000);
            vertx
                .createNetClient()
                .connect(worker.getLocalPort(), "127.0.0.1")
                .onSuccess(
                    s -> {
                      link.opened(s);
                      link.submit(command(bytes, end));
                      assertTrue(link.isStuck());
                      link.close();
                    });
          });
      try (Socket s = worker.accept()) {
        assertEquals(OutcomeCode.RESET, end.get(10, TimeUnit.SECONDS));
        long read = s.getInputStream().transferTo(OutputStream.nullOutputStream());
        assertTrue(read + " bytes", read < bytes);
      }
    } finally {
      vertx.close();
    }
  }

  private static PendingCommand command(int bytes, CompletableFuture<OutcomeCode> end) {
    return new PendingCommand(Buffer.buffer("9b1f"), Long.MAX_VALUE / 2) {
      @Override
      Buffer command(long now) {
        return Buffer.buffer(new byte[bytes]);
      }

      @Override
      void answered(List<Buffer> parts) {}

      @Override
      void lost(OutcomeCode code) {
        end.complete(code);
      }
    };
  }

  /**
   * Workers of any number that all listen at one port, and the way to them, within 256 descriptors.
   */
  private static final class Fleet implements AutoCloseable {
    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    final Semaphore arrived = new Semaphore(0);
    final Semaphore closed = new Semaphore(0);
    final ConnectionLimits account = new ConnectionLimits(256, false, false, 0);
    private final WorkerPool pool =
        new WorkerPool(
            vertx,
            new Clock(),
            new Counters(),
            SettingsJson.read("{}"),
            new SettingNames(List.of("a"), List.of(), List.of(), List.of(), 60_000, 100, 1_000),
            account,
            LEASES);
    private final int port;

    Fleet() throws Exception {
      port =
          vertx
              .createNetServer()
              .connectHandler(
                  s -> {
                    s.handler(b -> arrived.release());
                    s.closeHandler(v -> closed.release());
                  })
              .listen(0, "127.0.0.1")
              .toCompletionStage()
              .toCompletableFuture()
              .get(10, TimeUnit.SECONDS)
              .actualPort();
    }

    void command(int id) {
      context.runOnContext(
          v -> {
            pool.update(id, endpoint(id, port, WorkerState.READY), Long.MAX_VALUE);
            pool.unload(id, Buffer.buffer("7f3a9c21e0b4d655"));
          });
    }

    void drain(int id) {
      context.runOnContext(
          v -> pool.update(id, endpoint(id, port, WorkerState.DRAINING), Long.MAX_VALUE));
    }

    @Override
    public void close() throws Exception {
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
  }

  /** A line without an end is refused as soon as it is longer than any header. */
  @Test
  public void anEndlessLineIsGarbageAtOnce() {
    boolean[] garbage = {false};
    RespParser parser = new RespParser(parts -> {}, () -> garbage[0] = true);
    parser.handle(Buffer.buffer("*"));
    assertTrue(parser.isMidway());
    assertFalse(garbage[0]);
    parser.handle(Buffer.buffer("1".repeat(64)));
    assertTrue(garbage[0]);
  }

  /** Whatever pieces it comes in, and whole between two answers. */
  @Test
  public void aStreamIsCutIntoAnswers() {
    List<List<Buffer>> answers = new ArrayList<>();
    RespParser parser = new RespParser(answers::add, () -> answers.add(null));
    Buffer one =
        RespParser.command(
            Buffer.buffer("9b1f"),
            Buffer.buffer("200"),
            Buffer.buffer("-"),
            Buffer.buffer("x\r\ny".repeat(500)));
    for (byte b : Buffer.buffer().appendBuffer(one).appendBuffer(one).getBytes()) {
      parser.handle(Buffer.buffer(new byte[] {b}));
    }
    assertEquals(2, answers.size());
    assertEquals(answers.get(0), answers.get(1));
    assertEquals(2, parser.read());
    assertFalse(parser.isMidway());
  }
}
