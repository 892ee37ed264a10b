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

/** The connections to all workers, and the commands that travel on them. */
public final class WorkerPool implements WorkerTransport {
  private static final int MOST_LINKS_EACH = 8;
  private static final long PROBE_MICROS = 500_000;
  private static final double IDLE_PART = 0.8;
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
  private final ConnectionLimits account;
  private final WorkerLeaseView leases;
  private final Map<Integer, Worker> workers = new HashMap<>();
  private long tag;

  public WorkerPool(
      Vertx vertx,
      Clock clock,
      Counters counters,
      Settings settings,
      SettingNames names,
      ConnectionLimits account,
      WorkerLeaseView leases) {
    this.leases = leases;
    this.vertx = vertx;
    this.clock = clock;
    this.counters = counters;
    this.settings = settings;
    this.names = names;
    this.account = account;
    NetClientOptions options = new NetClientOptions().setTcpNoDelay(true);
    if (settings.limits().connectTimeout()
        > 0) { // else what waits for a connection ends by its own time
      options.setConnectTimeout((int) Math.max(1, settings.limits().connectTimeout() / 1_000));
    }
    this.client = vertx.createNetClient(options);
  }

  /** One worker's address and connections. */
  private final class Worker implements WorkerConnection.Listener {
    private final int id;
    private Endpoint endpoint;
    private long stopAt = Long.MAX_VALUE;
    private final List<WorkerConnection> open = new ArrayList<>();

    Worker(int id) {
      this.id = id;
    }

    /**
     * A worker that restarted or moved gets new connections; the old ones may be dead without
     * saying so.
     */
    void update(Endpoint e, long stop) {
      boolean moved =
          endpoint != null
              && (endpoint.startedAt() != e.startedAt()
                  || endpoint.port() != e.port()
                  || !endpoint.host().equals(e.host()));
      boolean sooner = stop < stopAt;
      endpoint = e;
      stopAt = stop;
      if (moved
          || e.state()
              != WorkerState.READY) { // nothing new is sent there, and others need the descriptors
        List.copyOf(open).forEach(WorkerConnection::retire);
      }
      if (stop <= clock.now()) {
        closeStuck();
      } else if (sooner) {
        vertx.setTimer(Math.max(1, (stop - clock.now()) / 1_000 + 1), t -> closeStuck());
      }
    }

    @Override
    public boolean mayStart(long now) {
      // Gone: another worker may have its address by now. The lease: a drain that discovery could
      // not tell counts as told all the same.
      return now < stopAt && endpoint.state() != WorkerState.GONE && now < leases.leaseUntil(id);
    }

    @Override
    public void withheld() {
      counters.add(Count.SENDS_WITHHELD);
    }

    /**
     * Guards rule 3 against bytes that still wait in a full connection when nothing new may come.
     */
    private void closeStuck() {
      if (!mayStart(clock.now())) {
        List.copyOf(open).stream()
            .filter(WorkerConnection::isStuck)
            .forEach(WorkerConnection::close);
      }
    }

    @Override
    public void closed(WorkerConnection link) {
      account.release(Purpose.LINKS);
      open.remove(link);
      forgetIfGone();
    }

    /**
     * Lets go of a worker that will not come back, with its last connection, or at once where it
     * has none.
     */
    private void forgetIfGone() {
      if (open.isEmpty() && endpoint.state() == WorkerState.GONE) {
        workers.values().remove(this);
      }
    }

    void submit(PendingCommand x) {
      WorkerConnection best = null;
      for (WorkerConnection l : open) {
        if (l.accepts(x, names.streamsPerConnection())
            && (best == null || l.load() < best.load())) {
          best = l;
        }
      }
      if (best == null && open.size() < MOST_LINKS_EACH && takePlace()) {
        best = connect();
      }
      if (best == null) { // guards the descriptors: nothing ran, and the worker is not to blame
        x.lost(OutcomeCode.MOOT);
      } else {
        best.submit(x);
      }
    }

    /**
     * A place for one more link: a free one, or that of the link which has lain idle for longest.
     */
    private boolean takePlace() {
      if (account.inUse(Purpose.LINKS) >= account.limit(Purpose.LINKS)) {
        workers.values().stream()
            .flatMap(w -> w.open.stream())
            .filter(WorkerConnection::isIdle)
            .min(Comparator.comparingLong(WorkerConnection::heardAt))
            .ifPresent(WorkerConnection::close);
      }
      return account.tryAcquire(Purpose.LINKS);
    }

    private WorkerConnection connect() {
      WorkerConnection link =
          new WorkerConnection(vertx, clock, this, (long) (IDLE_PART * names.idleCloseMillis()));
      open.add(link);
      counters.add(Count.WORKER_CONNECTIONS);
      client
          .connect(endpoint.port(), endpoint.host())
          .onComplete(
              link::opened,
              e -> {
                if (e instanceof ConnectException && !(e instanceof ConnectTimeoutException)) {
                  leases.onConnectionRefused(id);
                }
                link.refused();
              });
      return link;
    }
  }

  @Override
  public void update(int id, Endpoint endpoint, long stopAt) {
    Worker w = workers.computeIfAbsent(id, Worker::new);
    w.update(endpoint, stopAt);
    w.forgetIfGone();
  }

  /** How many workers are kept in mind. */
  int known() {
    return workers.size();
  }

  private void submit(int worker, PendingCommand x) {
    Worker w = workers.get(worker);
    if (w == null) {
      x.lost(OutcomeCode.CONNECT_FAILED);
    } else {
      w.submit(x);
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
          boolean isSettledBy(List<Buffer> parts) {
            return parts.size() > 1 && ReplyFields.code(parts.get(1)) == OutcomeCode.OK;
          }

          @Override
          Buffer withdrawal() {
            return RespParser.command(STOP, id);
          }

          @Override
          void answered(List<Buffer> parts) {
            attempt.complete(ending(parts));
          }

          @Override
          void lost(OutcomeCode code) {
            attempt.complete(AttemptResult.of(code));
          }
        });
  }

  /**
   * Guards against an answer without a body or fields: it is read as an error, which proves
   * nothing.
   */
  private AttemptResult ending(List<Buffer> parts) {
    if (parts.size() != 4) {
      return AttemptResult.of(OutcomeCode.ERROR);
    }
    ReplyFields f = new ReplyFields(parts.get(2));
    OutcomeCode code = ReplyFields.code(parts.get(1));
    boolean counted = code == OutcomeCode.OK || code == OutcomeCode.FULL;
    return new AttemptResult(
        code,
        f.note(),
        counted ? f.count("depth") : -1,
        f.report(settings.loadReportFormat().fields()),
        parts.get(3));
  }

  @Override
  public void cancel(Attempt attempt) {
    Worker w = workers.get(attempt.worker());
    if (w != null) {
      List.copyOf(w.open).stream()
          .anyMatch(l -> l.withdraw(attempt.request().requestId(), OutcomeCode.CANCELLED));
    }
  }

  // ---------------------------------------------------------------- orders and probes

  @Override
  public void preload(PreloadRequest order) {
    submit(
        order.worker(),
        new PendingCommand(nextTag(), clock.now() + names.preloadTimeoutMillis() * 1_000) {
          @Override
          Buffer command(long now) {
            return RespParser.command(
                HOLD,
                id,
                Buffer.buffer("asset=")
                    .appendBuffer(order.function())
                    .appendString(",pods=" + order.copies()));
          }

          @Override
          boolean isNewWork() {
            return order.copies() > 0;
          }

          @Override
          void answered(List<Buffer> parts) {
            order.complete(
                parts.size() < 2 ? OutcomeCode.ERROR : ReplyFields.code(parts.get(1)),
                parts.size() < 3 ? 0 : new ReplyFields(parts.get(2)).count("pods"));
          }

          @Override
          void lost(OutcomeCode code) {
            order.complete(code, 0);
          }
        });
  }

  @Override
  public void probe(WorkerProbe probing) {
    submit(
        probing.worker(),
        new PendingCommand(nextTag(), clock.now() + PROBE_MICROS) {
          @Override
          Buffer command(long now) {
            return RespParser.command(INFO, id);
          }

          @Override
          void answered(List<Buffer> parts) {
            boolean alive = parts.size() > 1 && parts.get(1).toString().equals("alive");
            probing.complete(
                alive ? OutcomeCode.OK : OutcomeCode.ERROR,
                parts.size() < 3
                    ? null
                    : new ReplyFields(parts.get(2)).report(settings.loadReportFormat().fields()));
          }

          @Override
          void lost(OutcomeCode code) {
            probing.complete(code, null);
          }
        });
  }

  @Override
  public void unload(int worker, Buffer function) {
    submit(
        worker,
        new PendingCommand(nextTag(), clock.now() + PROBE_MICROS) {
          @Override
          Buffer command(long now) {
            return RespParser.command(FREE, function);
          }

          @Override
          boolean isOneWay() {
            return true;
          }

          @Override
          void answered(List<Buffer> parts) {}

          @Override
          void lost(OutcomeCode code) {}
        });
  }

  @Override
  public void closeIdle(int worker) {
    Worker w = workers.get(worker);
    if (w != null) {
      List.copyOf(w.open).forEach(WorkerConnection::closeIfIdle);
    }
  }

  /** Reads made-up answers, so that the framing is compiled before the first real one comes. */
  public static void warmUp(int answers) {
    Buffer body = Buffer.buffer(new byte[200]);
    Buffer fields = Buffer.buffer("n=w,depth=3");
    Buffer id = Buffer.buffer("0123456789abcdef");
    RespParser parser = new RespParser(parts -> new ReplyFields(parts.get(2)).note(), () -> {});
    for (int i = 0; i < answers; i++) {
      parser.handle(RespParser.command(id, Buffer.buffer("200"), fields, body));
    }
  }

  private Buffer nextTag() {
    return Buffer.buffer("t" + ++tag);
  }
}
