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
 * Runs the paths that every call takes before the first one comes, so that they are compiled by
 * then: on one core the first seconds of a cold virtual machine else answer late. Decides nothing
 * and sends nothing to others: a module of its own is thrown away, and the front's own port is
 * asked for its heartbeat.
 *
 * <p>Each path is taken little more often than it takes for its methods to be compiled (200 times):
 * planned restarts follow each other, and a front end that is not back when the last of the others
 * ends costs every call until it is. Where many calls come at once, the ones that a cold front end
 * answers late cost more than the time: there it is more.
 */
final class WarmUp {
  private static final long MODULE_NANOS = 1_200_000_000L;
  private static final int MODULE_CALLS =
      5; // for each turn of the other paths: it is cheaper, and has more branches
  private static final int LEAST_TURNS = 300;
  private static final int MOST_TURNS = 3_200;
  private static final int SECONDS_OF_CALLS = 3;
  private static final int AT_ONCE = 8;
  private static final long SOCKET_MILLIS = 1_500;

  private WarmUp() {}

  /** How often each path is taken: for as many calls as are likely to come in some seconds. */
  static int turns(Settings settings) {
    double quota = settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
    return (int)
        Math.max(
            LEAST_TURNS, Math.min(MOST_TURNS, SECONDS_OF_CALLS * quota / settings.frontEndCount()));
  }

  /** Takes a throw-away module through calls, answers and ticks, on a clock of its own. */
  static void module(Settings settings) {
    ArrayDeque<Send> sends = new ArrayDeque<>();
    long now = 1_000_000_000L;
    java.util.function.Consumer<Action> actions =
        a -> {
          if (a instanceof Send s) {
            sends.add(s);
          }
        };
    AdaptiveDispatcher module = new AdaptiveDispatcher(settings, 1, now, actions);
    List<WorkerEntry> members = new ArrayList<>();
    for (int i = 1; i <= 16; i++) {
      members.add(new WorkerEntry(i * 0x9E3779B1, i % 3, i % 2, 0, WorkerState.READY, 1, 0));
    }
    module.handle(now, new WorkerListUpdate(ListKind.FULL, members), actions);
    Random random = new Random(1);
    long end = System.nanoTime() + MODULE_NANOS;
    for (int id = 1; id <= MODULE_CALLS * turns(settings) && System.nanoTime() < end; id++) {
      now += 3_000;
      int callClass = id % settings.classes().size();
      module.handle(
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
        module.handle(now, new TimerFired(-1), actions);
      }
      while (sends.size() > 12) {
        Send s = sends.poll();
        boolean full = id % 50 == 0;
        module.handle(
            now,
            new AttemptOutcome(
                s.call(),
                0,
                s.worker(),
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

  /** The framing of both wires, without a socket. */
  static void framing(int turns) {
    WorkerPool.warmUp(turns);
  }

  /** Asks the front at its own port for heartbeats, over and over. */
  static Future<Void> sockets(Vertx vertx, SocketAddress address, int turns) {
    Promise<Void> done = Promise.promise();
    long limit = vertx.setTimer(SOCKET_MILLIS, t -> done.tryComplete());
    vertx
        .createNetClient()
        .connect(address.port(), address.host())
        .onFailure(e -> done.tryComplete())
        .onSuccess(socket -> ask(socket, turns, done));
    return done.future().onComplete(v -> vertx.cancelTimer(limit));
  }

  private static void ask(NetSocket socket, int turns, Promise<Void> done) {
    int answer = RpcServer.heartbeatAnswerBytes();
    int[] heard = {0};
    int[] asked = {0};
    Runnable round =
        () -> {
          Buffer batch = Buffer.buffer();
          for (int i = 0; i < AT_ONCE; i++) {
            batch.appendBuffer(RpcServer.warmUpRequest(1));
          }
          asked[0] += AT_ONCE;
          socket.write(batch);
        };
    socket.handler(
        b -> {
          heard[0] += b.length();
          if (heard[0] >= asked[0] * answer) {
            if (asked[0] >= turns) {
              done.tryComplete();
            } else {
              round.run();
            }
          }
        });
    socket.closeHandler(v -> done.tryComplete());
    done.future().onComplete(v -> socket.close());
    round.run();
  }
}
