package umberrun.worker;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import saddlestall.Dispatcher.OutcomeCode;
import saddlestall.Dispatcher.Settings;
import saddlestall.Dispatcher.WorkerState;
import umberrun.admission.ConnectionLimits;
import umberrun.admission.ConnectionLimits.Purpose;
import umberrun.admission.MemoryBudget;
import umberrun.config.Config.SettingNames;
import umberrun.core.Attempt;
import umberrun.core.Clock;
import umberrun.core.Endpoint;
import umberrun.core.PreloadRequest;
import umberrun.core.WorkerLeaseView;
import umberrun.core.WorkerProbe;
import umberrun.core.WorkerTransport;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/**
 * Sends commands to the workers and manages the connections to them. Not thread-safe: it is to be
 * used from one event loop only.
 */
public final class WorkerPool implements WorkerTransport {
  private static final int MAX_CONNECTIONS_PER_WORKER = 8;

  /** The most bytes of replies whose rest is missing, for all workers together. */
  private static final long MAX_PARTIAL_REPLY_BYTES = 8 << 20;

  private static final long PROBE_TIMEOUT_MICROS = 500_000;

  /**
   * The fraction of the idle timeout in the settings after which an idle connection is closed, so
   * that this side closes before the worker does.
   */
  private static final double IDLE_CLOSE_FRACTION = 0.8;

  private static final Buffer RUN = Buffer.buffer("RUN");
  private static final Buffer STOP = Buffer.buffer("STOP");
  private static final Buffer HOLD = Buffer.buffer("HOLD");
  private static final Buffer INFO = Buffer.buffer("INFO");
  private static final Buffer FREE = Buffer.buffer("FREE");

  private final Vertx vertx;
  private final NetClient client;
  private final Clock clock;
  private final Counters counters;
  private final Settings settings;
  private final SettingNames names;
  private final ConnectionLimits connectionLimits;
  private final MemoryBudget replyBudget;
  private final WorkerLeaseView leases;
  private final Map<Integer, Worker> workers = new HashMap<>();

  /** The number in the id of the last command that is not a call; see {@link #nextTag()}. */
  private long lastTag;

  /**
   * @param names the settings' names of classes, with the limits of the connections
   * @param connectionLimits counts the connections against the process's descriptors
   * @param leases tells until when each worker may be sent new work
   */
  public WorkerPool(
      Vertx vertx,
      Clock clock,
      Counters counters,
      Settings settings,
      SettingNames names,
      ConnectionLimits connectionLimits,
      WorkerLeaseView leases) {
    this.leases = leases;
    this.vertx = vertx;
    this.clock = clock;
    this.counters = counters;
    this.settings = settings;
    this.names = names;
    this.connectionLimits = connectionLimits;
    this.replyBudget = new MemoryBudget(MAX_PARTIAL_REPLY_BYTES, connectionLimits);
    NetClientOptions options = new NetClientOptions().setTcpNoDelay(true);
    // Without a connect timeout, a command that waits for its connection ends at its own deadline.
    if (settings.limits().connectTimeout() > 0) {
      options.setConnectTimeout((int) Math.max(1, settings.limits().connectTimeout() / 1_000));
    }
    this.client = vertx.createNetClient(options);
  }

  /** The address of one worker and the connections to it. */
  private final class Worker implements WorkerConnection.Listener {
    private final int id;
    private Endpoint endpoint;

    /** From when on no new work may be written, in microseconds; {@code MAX_VALUE} for never. */
    private long stopAt = Long.MAX_VALUE;

    private final List<WorkerConnection> connections = new ArrayList<>();

    Worker(int id) {
      this.id = id;
    }

    /**
     * Applies a change of the worker's address, state or stop time. The connections to a worker
     * that restarted or moved are retired, as they may be dead without being closed. Those to a
     * worker that is not ready are retired too: it gets no new work, and other workers need the
     * descriptors.
     */
    void update(Endpoint newEndpoint, long newStopAt) {
      boolean moved =
          endpoint != null
              && (endpoint.startedAt() != newEndpoint.startedAt()
                  || endpoint.port() != newEndpoint.port()
                  || !endpoint.host().equals(newEndpoint.host()));
      boolean sooner = newStopAt < stopAt;
      endpoint = newEndpoint;
      stopAt = newStopAt;
      if (moved || newEndpoint.state() != WorkerState.READY) {
        List.copyOf(connections).forEach(WorkerConnection::retire);
      }
      if (newStopAt <= clock.now()) {
        closeBlockedConnections();
      } else if (sooner) {
        vertx.setTimer(
            Math.max(1, (newStopAt - clock.now()) / 1_000 + 1), t -> closeBlockedConnections());
      }
    }

    @Override
    public boolean mayStart(long now) {
      // The address of a worker that has left the list may belong to another worker by now. Once
      // the lease has ended, a drain may have gone unreported, so the worker counts as draining.
      return now < stopAt && endpoint.state() != WorkerState.GONE && now < leases.leaseUntil(id);
    }

    @Override
    public void onSendWithheld() {
      counters.add(Count.SENDS_WITHHELD);
    }

    /**
     * Closes the connections with unsent bytes if no new work may be written any more: a blocked
     * connection could otherwise deliver new work after the worker began to drain.
     */
    private void closeBlockedConnections() {
      if (!mayStart(clock.now())) {
        List.copyOf(connections).stream()
            .filter(WorkerConnection::hasUnsentBytes)
            .forEach(connection -> connection.close(Count.WORKERS_CLOSED_BLOCKED));
      }
    }

    @Override
    public void onClosed(WorkerConnection connection, Count reason) {
      counters.add(reason);
      connectionLimits.release(Purpose.WORKERS);
      connections.remove(connection);
      removeIfGone();
    }

    /** Removes a worker that has left the list once it has no connections. */
    private void removeIfGone() {
      if (connections.isEmpty() && endpoint.state() == WorkerState.GONE) {
        workers.values().remove(this);
      }
    }

    /** Submits a command on the least loaded connection that accepts it, or on a new one. */
    void submit(PendingCommand command) {
      WorkerConnection best = null;
      for (WorkerConnection connection : connections) {
        if (connection.accepts(command, names.streamsPerConnection())
            && (best == null || connection.load() < best.load())) {
          best = connection;
        }
      }
      if (best == null && connections.size() < MAX_CONNECTIONS_PER_WORKER && reserveConnection()) {
        best = connect();
      }
      if (best == null) {
        // No connection is available. The command did not run, and the worker is not at fault.
        command.onFailure(OutcomeCode.NOT_STARTED);
      } else {
        best.submit(command);
      }
    }

    /**
     * Reserves a descriptor for one more connection. If the limit is reached, the connection that
     * has been idle for longest is closed.
     */
    private boolean reserveConnection() {
      if (connectionLimits.inUse(Purpose.WORKERS) >= connectionLimits.limit(Purpose.WORKERS)) {
        workers.values().stream()
            .flatMap(worker -> worker.connections.stream())
            .filter(WorkerConnection::isIdle)
            .min(Comparator.comparingLong(WorkerConnection::lastReplyAt))
            .ifPresent(connection -> connection.close(Count.WORKERS_CLOSED_IDLE));
      }
      return connectionLimits.tryAcquire(Purpose.WORKERS);
    }

    private WorkerConnection connect() {
      WorkerConnection connection =
          new WorkerConnection(
              vertx,
              clock,
              this,
              (long) (IDLE_CLOSE_FRACTION * names.idleCloseMillis()),
              replyBudget);
      connections.add(connection);
      counters.add(Count.WORKER_CONNECTIONS);
      client
          .connect(endpoint.port(), endpoint.host())
          .onComplete(
              connection::onConnected,
              e -> {
                if (e instanceof ConnectException && !(e instanceof ConnectTimeoutException)) {
                  leases.onConnectionRefused(id);
                }
                connection.onConnectFailed();
              });
      return connection;
    }
  }

  @Override
  public void update(int id, Endpoint endpoint, long stopAt) {
    Worker worker = workers.computeIfAbsent(id, Worker::new);
    worker.update(endpoint, stopAt);
    worker.removeIfGone();
  }

  /** Returns the number of workers held in memory. */
  int workerCount() {
    return workers.size();
  }

  private void submit(int workerId, PendingCommand command) {
    Worker worker = workers.get(workerId);
    if (worker == null) {
      command.onFailure(OutcomeCode.CONNECT_FAILED);
    } else {
      worker.submit(command);
    }
  }

  // ---------------------------------------------------------------- calls

  @Override
  public void run(Attempt attempt) {
    submit(
        attempt.worker(),
        new PendingCommand(attempt.request().requestId(), attempt.deadline()) {
          @Override
          Buffer command(long now) {
            Buffer fields =
                Buffer.buffer("sort=")
                    .appendString(names.classes().get(attempt.request().callClass()))
                    .appendString(",asset=")
                    .appendBuffer(attempt.request().functionBytes())
                    .appendString(",patience=" + Math.max(1, (deadline - now) / 1_000));
            if (attempt.request().key() != null) {
              fields.appendString(",op=").appendBuffer(attempt.request().key());
            }
            return RespParser.command(RUN, id, fields, attempt.request().body());
          }

          @Override
          boolean isNewWork() {
            return true;
          }

          @Override
          boolean isWanted(long now) {
            return attempt.isWanted(now);
          }

          @Override
          boolean isFinalReply(List<Buffer> parts) {
            return parts.size() > 1 && ReplyFields.outcomeCode(parts.get(1)) == OutcomeCode.OK;
          }

          @Override
          Buffer cancelCommand() {
            return RespParser.command(STOP, id);
          }

          @Override
          void onReply(List<Buffer> parts) {
            attempt.complete(attemptResult(parts));
          }

          @Override
          void onFailure(OutcomeCode code) {
            attempt.complete(AttemptResult.of(code));
          }
        });
  }

  /**
   * Decodes the reply to a call. A reply without fields or body counts as an error, which leaves
   * open whether the call ran.
   */
  private AttemptResult attemptResult(List<Buffer> parts) {
    if (parts.size() != 4) {
      return AttemptResult.of(OutcomeCode.ERROR);
    }
    ReplyFields fields = new ReplyFields(parts.get(2));
    OutcomeCode code = ReplyFields.outcomeCode(parts.get(1));
    boolean reportsConcurrency = code == OutcomeCode.OK || code == OutcomeCode.FULL;
    return new AttemptResult(
        code,
        fields.copyStatus(),
        reportsConcurrency ? fields.count("depth") : -1,
        fields.loadReport(settings.loadReportFormat().fields()),
        parts.get(3));
  }

  @Override
  public void cancel(Attempt attempt) {
    Worker worker = workers.get(attempt.worker());
    if (worker != null) {
      List.copyOf(worker.connections).stream()
          .anyMatch(
              connection ->
                  connection.cancel(attempt.request().requestId(), OutcomeCode.CANCELLED));
    }
  }

  // ---------------------------------------------------------------- preloads and probes

  @Override
  public void preload(PreloadRequest preload) {
    submit(
        preload.worker(),
        new PendingCommand(nextTag(), clock.now() + names.preloadTimeoutMillis() * 1_000) {
          @Override
          Buffer command(long now) {
            return RespParser.command(
                HOLD,
                id,
                Buffer.buffer("asset=")
                    .appendBuffer(preload.function())
                    .appendString(",pods=" + preload.copies()));
          }

          @Override
          boolean isNewWork() {
            return preload.copies() > 0;
          }

          @Override
          void onReply(List<Buffer> parts) {
            preload.complete(
                parts.size() < 2 ? OutcomeCode.ERROR : ReplyFields.outcomeCode(parts.get(1)),
                parts.size() < 3 ? 0 : new ReplyFields(parts.get(2)).count("pods"));
          }

          @Override
          void onFailure(OutcomeCode code) {
            preload.complete(code, 0);
          }
        });
  }

  @Override
  public void probe(WorkerProbe probe) {
    submit(
        probe.worker(),
        new PendingCommand(nextTag(), clock.now() + PROBE_TIMEOUT_MICROS) {
          @Override
          Buffer command(long now) {
            return RespParser.command(INFO, id);
          }

          @Override
          void onReply(List<Buffer> parts) {
            boolean alive = parts.size() > 1 && parts.get(1).toString().equals("alive");
            probe.complete(
                alive ? OutcomeCode.OK : OutcomeCode.ERROR,
                parts.size() < 3
                    ? null
                    : new ReplyFields(parts.get(2))
                        .loadReport(settings.loadReportFormat().fields()));
          }

          @Override
          void onFailure(OutcomeCode code) {
            probe.complete(code, null);
          }
        });
  }

  @Override
  public void unload(int worker, Buffer function) {
    submit(
        worker,
        new PendingCommand(nextTag(), clock.now() + PROBE_TIMEOUT_MICROS) {
          @Override
          Buffer command(long now) {
            return RespParser.command(FREE, function);
          }

          @Override
          boolean isOneWay() {
            return true;
          }

          @Override
          void onReply(List<Buffer> parts) {}

          @Override
          void onFailure(OutcomeCode code) {}
        });
  }

  @Override
  public void closeIdle(int workerId) {
    Worker worker = workers.get(workerId);
    if (worker != null) {
      List.copyOf(worker.connections)
          .forEach(connection -> connection.closeIfIdle(Count.WORKERS_CLOSED_IDLE));
    }
  }

  /**
   * Parses synthetic replies, so that the JIT compiler has compiled the parser before the first
   * real reply.
   */
  public static void warmUp(int replies) {
    Buffer body = Buffer.buffer(new byte[200]);
    Buffer fields = Buffer.buffer("n=w,depth=3");
    Buffer id = Buffer.buffer("0123456789abcdef");
    RespParser parser =
        new RespParser(parts -> new ReplyFields(parts.get(2)).copyStatus(), () -> {});
    for (int i = 0; i < replies; i++) {
      parser.handle(RespParser.command(id, Buffer.buffer("200"), fields, body));
    }
  }

  /** Returns a new id for a command that is not a call. */
  private Buffer nextTag() {
    return Buffer.buffer("t" + ++lastTag);
  }
}
