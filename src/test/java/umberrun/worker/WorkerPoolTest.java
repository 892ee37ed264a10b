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
import umberrun.admission.MemoryBudget;
import umberrun.config.Config.SettingNames;
import umberrun.core.Clock;
import umberrun.core.Endpoint;
import umberrun.core.WorkerLeaseView;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;
import umberrun.stats.EventLoopMeter;
import umberrun.transport.ReadScheduler;
import umberrun.transport.SingleLoopTransport;

/** Tests of the connections to the workers and of the parser of their replies. */
public class WorkerPoolTest {
  /** Leases that never end, as while discovery is always reachable. */
  private static final WorkerLeaseView LEASES =
      new WorkerLeaseView() {
        @Override
        public long leaseUntil(int worker) {
          return Long.MAX_VALUE;
        }

        @Override
        public void onConnectionRefused(int worker) {}
      };

  /**
   * A worker that leaves the list is removed from memory even if it never had a connection. In a
   * large fleet, workers come and go by the hundred, and one front end never calls most of them.
   */
  @Test
  public void aGoneWorkerIsForgottenWithoutAConnection() throws Exception {
    Vertx vertx = scheduledVertx();
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
    assertEquals(0, pool.workerCount());
    vertx.close();
  }

  private static Endpoint endpoint(int id, WorkerState state) {
    return endpoint(id, 1, state);
  }

  private static Endpoint endpoint(int id, int port, WorkerState state) {
    return new Endpoint("s" + id, "127.0.0.1", port, 0, 0, 0, state, 1, 0);
  }

  /**
   * With more workers than connections allowed, an idle connection is closed to make room, so that
   * no command is refused.
   */
  @Test
  public void moreWorkersThanConnectionsAreAllReached() throws Exception {
    try (Fleet fleet = new Fleet()) {
      for (int id = 0; id < 150; id++) {
        fleet.command(id);
        assertTrue("worker " + id, fleet.arrived.tryAcquire(10, TimeUnit.SECONDS));
      }
      assertTrue(
          fleet.connectionLimits.inUse(Purpose.WORKERS)
              <= fleet.connectionLimits.limit(Purpose.WORKERS));
    }
  }

  /**
   * The idle connection to a draining worker frees its descriptor at once and not only after its
   * idle timeout, since the workers that replace it need the descriptor.
   */
  @Test
  public void aDrainedWorkersIdleConnectionIsClosedAtOnce() throws Exception {
    try (Fleet fleet = new Fleet()) {
      fleet.command(0);
      assertTrue(fleet.arrived.tryAcquire(10, TimeUnit.SECONDS));
      fleet.drain(0);
      assertTrue(fleet.closed.tryAcquire(10, TimeUnit.SECONDS));
    }
  }

  /**
   * A connection is closed while the worker does not read, as when it begins to drain with bytes
   * still unsent. When the worker reads again, it must not receive the rest of the command.
   */
  @Test
  public void unsentBytesAreDroppedWhenAConnectionCloses() throws Exception {
    MemoryBudget replyBudget =
        new MemoryBudget(1 << 20, new ConnectionLimits(1_024, false, false, 0));
    Vertx vertx = scheduledVertx();
    // More than the operating system buffers for a reader that does not read.
    int bytes = 32 << 20;
    try (ServerSocket worker = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<OutcomeCode> outcome = new CompletableFuture<>();
      vertx.runOnContext(
          v -> {
            WorkerConnection connection =
                new WorkerConnection(
                    vertx,
                    new Clock(),
                    new WorkerConnection.Listener() {
                      @Override
                      public void onSendWithheld() {}

                      @Override
                      public boolean mayStart(long now) {
                        return true;
                      }

                      @Override
                      public void onClosed(WorkerConnection closed, Count reason) {}
                    },
                    60_000,
                    replyBudget);
            vertx
                .createNetClient()
                .connect(worker.getLocalPort(), "127.0.0.1")
                .onSuccess(
                    s -> {
                      connection.onConnected(s);
                      connection.submit(command(bytes, outcome));
                      assertTrue(connection.hasUnsentBytes());
                      connection.close(Count.WORKERS_CLOSED_BLOCKED);
                    });
          });
      try (Socket s = worker.accept()) {
        assertEquals(OutcomeCode.RESET, outcome.get(10, TimeUnit.SECONDS));
        long read = s.getInputStream().transferTo(OutputStream.nullOutputStream());
        assertTrue(read + " bytes", read < bytes);
      }
    } finally {
      vertx.close();
    }
  }

  private static PendingCommand command(int bytes, CompletableFuture<OutcomeCode> outcome) {
    return new PendingCommand(Buffer.buffer("9b1f"), Long.MAX_VALUE / 2) {
      @Override
      Buffer command(long now) {
        return Buffer.buffer(new byte[bytes]);
      }

      @Override
      void onReply(List<Buffer> parts) {}

      @Override
      void onFailure(OutcomeCode code) {
        outcome.complete(code);
      }
    };
  }

  /**
   * Any number of workers that share one listening port, and a pool for them that is limited to 256
   * descriptors.
   */
  private static final class Fleet implements AutoCloseable {
    private final Vertx vertx = scheduledVertx();
    private final Context context = vertx.getOrCreateContext();

    /** One permit for each piece of data that arrived at a worker. */
    final Semaphore arrived = new Semaphore(0);

    /** One permit for each connection that a worker saw close. */
    final Semaphore closed = new Semaphore(0);

    final ConnectionLimits connectionLimits = new ConnectionLimits(256, false, false, 0);
    private final WorkerPool pool =
        new WorkerPool(
            vertx,
            new Clock(),
            new Counters(),
            SettingsJson.read("{}"),
            new SettingNames(List.of("a"), List.of(), List.of(), List.of(), 60_000, 100, 1_000),
            connectionLimits,
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

    /** Makes the worker known and sends it a command without a reply. */
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

  /** A header line without an end is rejected as soon as it exceeds the longest valid header. */
  @Test
  public void anEndlessHeaderLineIsRejectedAtOnce() {
    boolean[] malformed = {false};
    RespParser parser = new RespParser(parts -> {}, () -> malformed[0] = true);
    parser.handle(Buffer.buffer("*"));
    assertTrue(parser.hasPartialArray());
    assertFalse(malformed[0]);
    parser.handle(Buffer.buffer("1".repeat(64)));
    assertTrue(malformed[0]);
  }

  /**
   * Arrays are parsed when their bytes arrive one at a time, and no partial array is reported after
   * the last of them.
   */
  @Test
  public void aStreamIsSplitIntoArrays() {
    List<List<Buffer>> arrays = new ArrayList<>();
    RespParser parser = new RespParser(arrays::add, () -> arrays.add(null));
    Buffer encoded =
        RespParser.command(
            Buffer.buffer("9b1f"),
            Buffer.buffer("200"),
            Buffer.buffer("-"),
            Buffer.buffer("x\r\ny".repeat(500)));
    for (byte b : Buffer.buffer().appendBuffer(encoded).appendBuffer(encoded).getBytes()) {
      parser.handle(Buffer.buffer(new byte[] {b}));
    }
    assertEquals(2, arrays.size());
    assertEquals(arrays.get(0), arrays.get(1));
    assertEquals(2, parser.arraysRead());
    assertFalse(parser.hasPartialArray());
  }

  /** An instance whose connections read in turns, as those of the program do. */
  private static Vertx scheduledVertx() {
    EventLoopMeter meter = new EventLoopMeter(new Counters(), text -> {});
    return Vertx.builder().withTransport(new SingleLoopTransport(new ReadScheduler(meter))).build();
  }
}
