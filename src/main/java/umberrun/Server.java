package umberrun;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import saddlestall.Choice;
import saddlestall.Dispatcher.CallClass;
import umberrun.config.Config;
import umberrun.core.Clock;
import umberrun.core.Owner;
import umberrun.front.rpc.RpcFront;
import umberrun.roll.ChangeLog;
import umberrun.stats.Counters;
import umberrun.worker.WorkerPool;

/** Puts the parts of one front end together, on one event loop, and takes them apart on SIGTERM. */
final class Server {
  /** After SIGTERM connections and calls keep coming for at most this long. */
  private static final long ACCEPT_MILLIS = 700;

  private final Config config;
  private final Counters counters = new Counters();
  private final CountDownLatch done = new CountDownLatch(1);
  private final Vertx vertx;
  private final Context context;
  private Owner owner;
  private RpcFront rpc;
  private boolean draining;

  private Server(Config config) {
    this.config = config;
    // One core: one event loop, and next to no threads beside it. Nothing is read from the class path or cached.
    this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
        .setInternalBlockingPoolSize(1).setFileSystemOptions(
            new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
    this.context = vertx.getOrCreateContext();
  }

  static void start(Config config) {
    Server server = new Server(config);
    Rehearsal.module(config.settings());
    Rehearsal.framing();
    server.context.runOnContext(v -> server.open());
    Runtime.getRuntime().addShutdownHook(new Thread(server::drain, "drain"));
  }

  private void open() {
    try {
      Clock clock = new Clock();
      owner = new Owner(vertx, context, clock, counters, config.settings(), Server::log,
          actions -> new Choice(config.settings(), config.seed(), clock.now(), actions),
          o -> new WorkerPool(vertx, clock, counters, config.settings(), config.names(), config.sockets()));
      ChangeLog changeLog = new ChangeLog(vertx, config.changelog(), owner, config.names(), counters);
      changeLog.known(config.known());
      changeLog.start();
      rpc = new RpcFront(vertx, owner, counters, config.names(), config.sockets());
      rpc.listen(config.listen()).compose(port -> Rehearsal.sockets(vertx, config.listen())).onSuccess(v -> {
        rpc.setFit(!draining);
        log(config.name() + " listens on " + config.listen());
      }).onFailure(this::fail);
    } catch (RuntimeException e) {
      fail(e);
    }
  }

  private void fail(Throwable e) {
    System.err.println("umberrun: can't start: " + e.getMessage());
    Runtime.getRuntime().halt(2);
  }

  /** Runs while the process is told to end; it ends when this returns. */
  private void drain() {
    long most = config.settings().classes().stream().mapToLong(CallClass::giveUp).max().orElse(0) / 1_000;
    context.runOnContext(v -> {
      draining = true;
      if (rpc == null) {
        done.countDown();
        return;
      }
      rpc.setFit(false);
      vertx.setTimer(ACCEPT_MILLIS, t -> owner.whenIdle(() -> vertx.setTimer(1, flushed -> done.countDown())));
    });
    try {
      done.await(most + ACCEPT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    log(counters.line());
  }

  private static void log(String text) {
    System.err.println("umberrun: " + text);
  }
}
