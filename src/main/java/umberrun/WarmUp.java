package umberrun;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import saddlestall.AdaptiveDispatcher;
import saddlestall.Dispatcher.Action;
import saddlestall.Dispatcher.AttemptOutcome;
import saddlestall.Dispatcher.CallArrival;
import saddlestall.Dispatcher.CopyStatus;
import saddlestall.Dispatcher.ListKind;
import saddlestall.Dispatcher.OutcomeCode;
import saddlestall.Dispatcher.Send;
import saddlestall.Dispatcher.Settings;
import saddlestall.Dispatcher.Tenant;
import saddlestall.Dispatcher.TimerFired;
import saddlestall.Dispatcher.WorkerEntry;
import saddlestall.Dispatcher.WorkerListUpdate;
import saddlestall.Dispatcher.WorkerState;
import umberrun.front.rpc.RpcServer;
import umberrun.worker.WorkerPool;

/**
 * Runs the code paths of a call before the first call arrives, so that the JIT compiler has
 * compiled them by then. Without it, a front end on one core answers late during its first seconds.
 * The warm-up has no effect on others: it uses a dispatcher that is discarded, and it requests
 * heartbeats from this front end's own port.
 *
 * <p>Each path runs only a little more often than it takes for its methods to be compiled (200
 * times). Planned restarts follow each other, and as long as a front end is not back when the last
 * of the others ends, every call is lost. With a high call rate, the calls that a cold front end
 * answers late cost more than a longer start, so there the paths run more often.
 */
final class WarmUp {
  private static final long MAX_DISPATCHER_NANOS = 1_200_000_000L;

  /**
   * Calls of the dispatcher for each iteration of the other paths. The dispatcher is cheaper and
   * has more branches.
   */
  private static final int DISPATCHER_CALLS_PER_ITERATION = 5;

  private static final int MIN_ITERATIONS = 300;
  private static final int MAX_ITERATIONS = 3_200;

  /** The number of iterations is that of the calls expected within this time. */
  private static final int EXPECTED_CALLS_SECONDS = 3;

  /** Heartbeat requests that are sent together. */
  private static final int BATCH_SIZE = 8;

  private static final long MAX_SOCKET_MILLIS = 1_500;

  private WarmUp() {}

  /**
   * Returns how often each path runs, from the tenants' call rates and the number of front ends.
   */
  static int iterations(Settings settings) {
    double quota = settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
    return (int)
        Math.max(
            MIN_ITERATIONS,
            Math.min(MAX_ITERATIONS, EXPECTED_CALLS_SECONDS * quota / settings.frontEndCount()));
  }

  /** Runs calls, answers and timers through a dispatcher that is discarded, on a virtual clock. */
  static void dispatcher(Settings settings) {
    ArrayDeque<Send> sends = new ArrayDeque<>();
    long now = 1_000_000_000L;
    java.util.function.Consumer<Action> actions =
        action -> {
          if (action instanceof Send send) {
            sends.add(send);
          }
        };
    AdaptiveDispatcher dispatcher = new AdaptiveDispatcher(settings, 1, now, actions);
    List<WorkerEntry> workers = new ArrayList<>();
    for (int i = 1; i <= 16; i++) {
      workers.add(new WorkerEntry(i * 0x9E3779B1, i % 3, i % 2, 0, WorkerState.READY, 1, 0));
    }
    dispatcher.handle(now, new WorkerListUpdate(ListKind.FULL, workers), actions);
    Random random = new Random(1);
    long end = System.nanoTime() + MAX_DISPATCHER_NANOS;
    for (int id = 1;
        id <= DISPATCHER_CALLS_PER_ITERATION * iterations(settings) && System.nanoTime() < end;
        id++) {
      now += 3_000;
      int callClass = id % settings.classes().size();
      dispatcher.handle(
          now,
          new CallArrival(
              id,
              settings.classes().get(callClass).timeout(),
              0,
              1 + (long) (40 * random.nextDouble() * random.nextDouble()),
              4,
              4_000,
              callClass,
              id % Math.max(1, settings.tenants().size()),
              false,
              false,
              1_500_000),
          actions);
      if (id % 16 == 0) {
        dispatcher.handle(now, new TimerFired(-1), actions);
      }
      while (sends.size() > 12) {
        Send send = sends.poll();
        boolean full = id % 50 == 0;
        dispatcher.handle(
            now,
            new AttemptOutcome(
                send.call(),
                0,
                send.worker(),
                full ? OutcomeCode.FULL : OutcomeCode.OK,
                60_000,
                !full,
                CopyStatus.WARM,
                1,
                null),
            actions);
      }
    }
  }

  /** Runs the encoding and decoding of the protocols to clients and workers, without a socket. */
  static void framing(int iterations) {
    WorkerPool.warmUp(iterations);
  }

  /**
   * Sends heartbeat requests to this front end's own port. Completes when enough are answered, and
   * at the latest after {@link #MAX_SOCKET_MILLIS}; it never fails.
   *
   * @param address the address of this front end's own listener
   */
  static Future<Void> sockets(Vertx vertx, SocketAddress address, int iterations) {
    Promise<Void> done = Promise.promise();
    long limit = vertx.setTimer(MAX_SOCKET_MILLIS, t -> done.tryComplete());
    vertx
        .createNetClient()
        .connect(address.port(), address.host())
        .onFailure(e -> done.tryComplete())
        .onSuccess(socket -> requestHeartbeats(socket, iterations, done));
    return done.future().onComplete(v -> vertx.cancelTimer(limit));
  }

  private static void requestHeartbeats(NetSocket socket, int iterations, Promise<Void> done) {
    int answerBytes = RpcServer.heartbeatAnswerBytes();
    int[] bytesReceived = {0};
    int[] requestsSent = {0};
    Runnable sendBatch =
        () -> {
          Buffer batch = Buffer.buffer();
          for (int i = 0; i < BATCH_SIZE; i++) {
            batch.appendBuffer(RpcServer.warmUpRequest(1));
          }
          requestsSent[0] += BATCH_SIZE;
          socket.write(batch);
        };
    socket.handler(
        buffer -> {
          bytesReceived[0] += buffer.length();
          if (bytesReceived[0] >= requestsSent[0] * answerBytes) {
            if (requestsSent[0] >= iterations) {
              done.tryComplete();
            } else {
              sendBatch.run();
            }
          }
        });
    socket.closeHandler(v -> done.tryComplete());
    done.future().onComplete(v -> socket.close());
    sendBatch.run();
  }
}
