package umberrun;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import saddlestall.Choice;
import saddlestall.Dispatcher.CallClass;
import umberrun.config.Config;
import umberrun.config.Config.BadConfig;
import umberrun.config.OperatorFile;
import umberrun.core.Clock;
import umberrun.core.Owner;
import umberrun.core.Invocations;
import umberrun.front.invoke.InvokeFront;
import umberrun.front.rpc.RpcFront;
import umberrun.roll.ChangeLog;
import umberrun.roll.Consul;
import umberrun.roll.Roll;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;
import sun.misc.Signal;
import umberrun.worker.WorkerPool;

/** Puts the parts of one front end together, on one event loop, and takes them apart on SIGTERM. */
final class Server {
  /** After SIGTERM connections and calls keep coming for at most this long. */
  private static final long ACCEPT_MILLIS = 700;
  private static final long CATCH_UP_MILLIS = 10;
  /** The last answers leave the process within this. */
  private static final long FLUSH_MILLIS = 20;

  private final Config config;
  private final Counters counters = new Counters();
  private final CountDownLatch done = new CountDownLatch(1);
  private final Vertx vertx;
  private final Context context;
  private Owner owner;
  private RpcFront rpc;
  private InvokeFront invoke;
  private final List<Roll> rolls = new ArrayList<>();
  private ChangeLog changeLog;
  private boolean draining;
  private volatile boolean fit;
  private int rpcPort;
  private int invokePort;

  Server(Config config) {
    this.config = config;
    // One core: one event loop, and next to no threads beside it. Nothing is read from the class path or cached.
    this.vertx = Vertx.builder().withTransport(new SingleLoop()).with(new VertxOptions().setEventLoopPoolSize(1)
        .setWorkerPoolSize(1).setInternalBlockingPoolSize(1).setFileSystemOptions(
            new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false))).build();
    this.context = vertx.getOrCreateContext();
  }

  /** Serves until the process is told to end. */
  static void serve(Config config, Map<String, String> env) {
    Server server = new Server(config);
    server.heed(env);
    server.start().onSuccess(v -> log(config.name() + " listens on " + config.listen())).onFailure(e -> {
      System.err.println("umberrun: can't start: " + e.getMessage());
      Runtime.getRuntime().halt(2);
    });
    Runtime.getRuntime().addShutdownHook(new Thread(server::drain, "drain"));
  }

  private Future<Void> start() {
    Rehearsal.module(config.settings());
    Rehearsal.framing(Rehearsal.turns(config.settings()));
    return open();
  }

  /** Takes the signals that do not end the process: unheeded, each of them would. */
  void heed(Map<String, String> env) {
    Signal.handle(new Signal("HUP"), s -> reload(env));
    Signal.handle(new Signal("USR2"), s -> context.runOnContext(v -> log(counters.line())));
  }

  /** Reads the configuration again. While running only the change log may move; a file that is bad changes nothing. */
  private void reload(Map<String, String> env) {
    try {
      SocketAddress address = Config.read(env).changelog();
      context.runOnContext(v -> {
        if (changeLog != null && address != null) {
          changeLog.moveTo(address);
        }
        counters.add(Count.CONFIGS_TAKEN);
        log("configuration read again, the change log is at " + address);
      });
    } catch (BadConfig | RuntimeException e) { // guards against a file that is half written or wrong
      context.runOnContext(v -> counters.add(Count.CONFIGS_REFUSED));
      log("configuration kept as it was: " + e.getMessage());
    }
  }

  /** Brings all parts up; done once calls are welcome. */
  Future<Void> open() {
    Promise<Void> opened = Promise.promise();
    context.runOnContext(v -> Future.<Void>succeededFuture().compose(x -> assemble()).onComplete(opened));
    return opened.future();
  }

  private Future<Void> assemble() {
    Clock clock = new Clock();
    owner = new Owner(vertx, context, clock, counters, config.settings(), Server::log,
        actions -> new Choice(config.settings(), config.seed(), clock.now(), actions),
        o -> new WorkerPool(vertx, clock, counters, config.settings(), config.names(), config.shares().links()));
    OperatorFile operator = config.operator();
    if (config.changelog() != null && (operator == null || !operator.listsWorkers())) {
      changeLog = new ChangeLog(vertx, config.changelog(), owner, config.names(), counters);
      changeLog.known(config.known());
      rolls.add(changeLog);
    }
    rpc = new RpcFront(vertx, owner, counters, config.names(), config.shares().clients());
    if (operator != null && operator.invoke() != null) {
      invoke = new InvokeFront(vertx, owner, new Invocations(vertx, clock, owner, counters, operator.deferred()),
          counters, config.names(), config.shares().invoke());
    }
    if (operator != null && operator.consul() != null) {
      rolls.add(new Consul(vertx, owner, config.names(), operator.consul(), config.name(), operator.invoke(),
          counters));
    }
    return rpc.listen(config.listen()).compose(port -> {
      rpcPort = port;
      return Rehearsal.sockets(vertx, SocketAddress.inetSocketAddress(port, config.listen().host()),
          Rehearsal.turns(config.settings()));
    }).compose(v -> invoke == null ? Future.succeededFuture(0) : invoke.listen(operator.invoke())).map(port -> {
      invokePort = port;
      rolls.forEach(Roll::start);
      return null;
    }).compose(v -> onTime()).onSuccess(v -> setFit(!draining));
  }

  /** Done once the loop has caught up with what the start cost it: until then calls would be refused. */
  private Future<Void> onTime() {
    return owner.isOnTime() ? Future.succeededFuture()
        : vertx.timer(CATCH_UP_MILLIS).compose(v -> onTime());
  }

  boolean isFit() {
    return fit;
  }

  /** Where all of it runs. */
  Context context() {
    return context;
  }

  int rpcPort() {
    return rpcPort;
  }

  int invokePort() {
    return invokePort;
  }

  Counters counters() {
    return counters;
  }

  /** Ends everything at once. */
  Future<Void> close() {
    return vertx.close();
  }

  private void setFit(boolean fit) {
    this.fit = fit;
    rpc.setFit(fit);
    if (invoke != null) {
      invoke.setFit(fit);
    }
  }

  /** Runs while the process is told to end; it ends when this returns. */
  void drain() {
    long most = config.settings().classes().stream().mapToLong(CallClass::giveUp).max().orElse(0) / 1_000;
    context.runOnContext(v -> {
      draining = true;
      if (rpc == null) {
        done.countDown();
        return;
      }
      setFit(false);
      rolls.forEach(Roll::leave);
      vertx.setTimer(ACCEPT_MILLIS, t -> owner.whenIdle(() -> vertx.setTimer(FLUSH_MILLIS, f -> done.countDown())));
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
