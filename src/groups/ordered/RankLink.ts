import type { OrderCondition, OrderResult, RankCounts, RankExperts, RankOrder, RankReport } from "./RankReport.js";

/** Way to one rank of a group; every method rejects if the rank gives no answer. */
export abstract class RankLink {
    /** Reads what the rank says of itself, as it is after all orders answered so far. */
    abstract readReport(): Promise<RankReport>;
    abstract readCounts(): Promise<RankCounts>;
    /** Reads the experts that the rank's map in use gives it. */
    abstract readExperts(): Promise<RankExperts>;
    /**
     * Gives an order; never rejects, since an order without an answer may have been carried out.
     * @param order - Order.
     * @param condition - What must hold when the order is carried out.
     */
    abstract sendOrder(order: RankOrder, condition: OrderCondition): Promise<OrderResult>;
}
